package job

import (
	"strings"

	"github.com/google/uuid"
)

// The codes of items that ended without an answer, besides the kinds of error.
const (
	CodeCancelled   = "batch_cancelled"
	CodeExpired     = "batch_expired"
	CodeFailed      = "item_failed"
	CodeQuarantined = "item_quarantined"
	CodeTooLarge    = "result_too_large"
	CodeUnreadable  = "input_unreadable"
)

// NewFailure returns the result of an item that ended without an answer.
func NewFailure(customID, code, message string) ResultLine {
	return ResultLine{ID: NewItemID(), CustomID: customID, Error: &ResultError{Code: code, Message: message}}
}

// CancelledLine returns the result of an item that a cancel kept from running.
func CancelledLine(customID string) ResultLine {
	return NewFailure(customID, CodeCancelled, "the job was cancelled before this item was done")
}

// NewItemID returns a new id of a result.
func NewItemID() string { return "item_" + CompactUUID() }

// CompactUUID returns a random id without dashes.
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
