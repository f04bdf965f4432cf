package naming

// WriteOutcome says what is known of a write of the record.
type WriteOutcome int

const (
	// Written means that the record is now as written.
	Written WriteOutcome = iota
	// NotWritten means that the record had changed and is as it was.
	NotWritten
	// WriteUnknown means that the record may be either.
	WriteUnknown
)
