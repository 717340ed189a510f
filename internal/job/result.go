package job

import (
	"strings"

	"github.com/google/uuid"
)

// Error codes of items that have no response. The kinds of apierr are used too.
const (
	CodeCancelled  = "batch_cancelled"
	CodeExpired    = "batch_expired"
	CodeFailed     = "item_failed"
	CodeTooLarge   = "result_too_large"
	CodeUnreadable = "input_unreadable"
)

// NewFailure returns the result of an item that has no response.
func NewFailure(customID, code, message string) ResultLine {
	return ResultLine{ID: NewItemID(), CustomID: customID, Error: &ResultError{Code: code, Message: message}}
}

// CancelledLine returns the result of an item whose job was cancelled before the
// item was done.
func CancelledLine(customID string) ResultLine {
	return NewFailure(customID, CodeCancelled, "the job was cancelled before this item was done")
}

// NewItemID returns a new random id for a result.
func NewItemID() string { return "item_" + CompactUUID() }

// CompactUUID returns a random UUID without dashes.
func CompactUUID() string { return strings.ReplaceAll(uuid.NewString(), "-", "") }

// CountResults counts the results by outcome.
func CountResults(lines []ResultLine) Counts {
	counts := Counts{Total: len(lines)}
	for _, line := range lines {
		switch {
		case line.Error != nil && line.Error.Code == CodeCancelled:
			counts.Cancelled++
		case line.Failed():
			counts.Failed++
		default:
			counts.Completed++
		}
	}
	return counts
}
