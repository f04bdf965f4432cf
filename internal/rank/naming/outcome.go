package naming

// WriteOutcome is the known result of a write of the record.
type WriteOutcome int

const (
	// Written means that the record was replaced.
	Written WriteOutcome = iota
	// NotWritten means that the record had changed and was left as it was.
	NotWritten
	// WriteUnknown means that the write may have taken effect or not.
	WriteUnknown
)
