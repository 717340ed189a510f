package ratelimit

import (
	"slices"
	"time"
)

// borrowedTransfer is the unused rest of one transfer at the borrower.
type borrowedTransfer struct {
	lender   string // address
	transfer uint64
	amount   float64
	deadline time.Time
}

// Settlement ends a transfer. The borrower uses no more of its tokens.
type Settlement struct {
	Transfer uint64
	Returned float64 // unused tokens
}

// DueSettlement is a settlement to be sent to a lender.
type DueSettlement struct {
	Lender string // address of the lender
	Settlement
}

// pendingRequest is a borrow request without a reply so far.
type pendingRequest struct {
	id     uint64
	lender string
	sentAt time.Time
}

// RegisterRequest records a borrow request that is about to be sent and returns
// its id. It drops requests whose reply would be too late to be used.
func (h *Holding) RegisterRequest(lender string, now time.Time) uint64 {
	h.requests = slices.DeleteFunc(h.requests, func(a pendingRequest) bool { return !now.Before(a.sentAt.Add(BorrowedTokenTTL)) })
	h.lastID++
	h.requests = append(h.requests, pendingRequest{id: h.lastID, lender: lender, sentAt: now})
	return h.lastID
}

// AddBorrowed adds the tokens of a reply. Their deadline counts from the time of
// the request on this host's own clock, so a late reply adds nothing. A duplicate
// reply is ignored.
func (h *Holding) AddBorrowed(id, transfer uint64, amount float64, now time.Time) {
	i := slices.IndexFunc(h.requests, func(a pendingRequest) bool { return a.id == id })
	if i < 0 {
		return
	}
	r := h.requests[i]
	if !h.disabled.acceptDuplicateReplies {
		h.requests = slices.Delete(h.requests, i, i+1)
	}
	deadline := r.sentAt.Add(BorrowedTokenTTL)
	if amount <= 0 || !now.Before(deadline) && !h.disabled.ignoreBorrowDeadline {
		return
	}
	h.borrowed = append(h.borrowed, borrowedTransfer{lender: r.lender, transfer: transfer, amount: amount, deadline: deadline})
	slices.SortFunc(h.borrowed, func(a, b borrowedTransfer) int { return a.deadline.Compare(b.deadline) })
}

func (h *Holding) expireBorrowed(now time.Time) {
	if h.disabled.ignoreBorrowDeadline {
		return
	}
	h.borrowed = slices.DeleteFunc(h.borrowed, func(l borrowedTransfer) bool { return !now.Before(l.deadline) })
}

func (h *Holding) borrowedTokens() float64 {
	sum := 0.0
	for _, l := range h.borrowed {
		sum += l.amount
	}
	return sum
}

// spendBorrowed spends up to n borrowed tokens, those with the earliest deadline
// first, and returns how many of the n are left to spend.
func (h *Holding) spendBorrowed(n float64) float64 {
	for i := range h.borrowed {
		part := min(n, h.borrowed[i].amount)
		h.borrowed[i].amount -= part
		n -= part
	}
	return n
}

// CollectSettlements removes the transfers that are spent or were requested before
// the given time, and returns the settlements due to their lenders.
func (h *Holding) CollectSettlements(requestedBefore, now time.Time) []DueSettlement {
	h.expireBorrowed(now)
	var due []DueSettlement
	h.borrowed = slices.DeleteFunc(h.borrowed, func(l borrowedTransfer) bool {
		if l.amount > tolerance && l.deadline.Add(-BorrowedTokenTTL).After(requestedBefore) {
			return false
		}
		due = append(due, DueSettlement{Lender: l.lender, Settlement: Settlement{Transfer: l.transfer, Returned: l.amount}})
		return true
	})
	return due
}
