package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

const presetText = `[preset]
name = %s
queueLength = 500
retryBudgetPercent = 20

[dataCentre a]
[dataCentre b]
[dataCentre c]

[account tazalyk]
keyHash = %s
ratePerSecond = %d
burst = %d
concurrency = %d
weight = 1
worth = 1

[model small]
endpoints = *-engine-*
coldStartConcurrency = 4
concurrency = 16
rampStep = 1
rampCompletions = 5
defaultDeadline = 10s
maxOutputTokens = 1000

[service desk]
endpoints = *-desk-*
repeatable = false
path = /press
coldStartConcurrency = 4
concurrency = 16
rampStep = 1
rampCompletions = 5
defaultDeadline = 10s
`

// Preset returns a preset for the system with one account, whose limits grow
// with scale.
func Preset(name string, scale int) string {
	sum := sha256.Sum256([]byte(Key))
	return fmt.Sprintf(presetText, name, hex.EncodeToString(sum[:]), 1000*scale, 1000*scale, 400*scale)
}
