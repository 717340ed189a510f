package ratelimit

import (
	"slices"
	"time"
)

// lot is tokens borrowed in one transfer.
type lot struct {
	giver    string // address of the giver
	transfer uint64
	amount   float64
	deadline time.Time
}

// Settlement ends a transfer: the receiver uses no more of it.
type Settlement struct {
	Transfer uint64
	Returned float64 // tokens that were not used
}

// DueSettlement is a settlement that is due to a giver.
type DueSettlement struct {
	Giver string
	Settlement
}

// ask is a question to a giver that has not been answered.
type ask struct {
	id    uint64
	giver string
	asked time.Time
}

// RegisterRequest notes a question that is about to be sent to a giver and returns its id.
func (h *Holding) RegisterRequest(giver string, now time.Time) uint64 {
	h.asks = slices.DeleteFunc(h.asks, func(a ask) bool { return !now.Before(a.asked.Add(BorrowedTokenTTL)) })
	h.lastID++
	h.asks = append(h.asks, ask{id: h.lastID, giver: giver, asked: now})
	return h.lastID
}

// AddBorrowed adds the tokens of the reply to a question. The deadline counts
// from when the question was asked, on this host's own clock, so that a late
// reply is of no use. A reply that comes twice is used once.
func (h *Holding) AddBorrowed(id, transfer uint64, amount float64, now time.Time) {
	i := slices.IndexFunc(h.asks, func(a ask) bool { return a.id == id })
	if i < 0 {
		return
	}
	q := h.asks[i]
	if !h.variant.repeatedReplies {
		h.asks = slices.Delete(h.asks, i, i+1)
	}
	deadline := q.asked.Add(BorrowedTokenTTL)
	if amount <= 0 || !now.Before(deadline) && !h.variant.endlessBorrowing {
		return
	}
	h.borrowed = append(h.borrowed, lot{giver: q.giver, transfer: transfer, amount: amount, deadline: deadline})
	slices.SortFunc(h.borrowed, func(a, b lot) int { return a.deadline.Compare(b.deadline) })
}

// expireLots drops the lots past their deadline.
func (h *Holding) expireLots(now time.Time) {
	if h.variant.endlessBorrowing {
		return
	}
	h.borrowed = slices.DeleteFunc(h.borrowed, func(l lot) bool { return !now.Before(l.deadline) })
}

func (h *Holding) borrowedTokens() float64 {
	sum := 0.0
	for _, l := range h.borrowed {
		sum += l.amount
	}
	return sum
}

// spendBorrowed spends up to n borrowed tokens and returns what is left to pay.
func (h *Holding) spendBorrowed(n float64) float64 {
	for i := range h.borrowed {
		part := min(n, h.borrowed[i].amount)
		h.borrowed[i].amount -= part
		n -= part
	}
	return n
}

// CollectSettlements removes the lots that are spent, and those that were borrowed
// before the given time, and returns what their givers are to be told.
func (h *Holding) CollectSettlements(askedBefore, now time.Time) []DueSettlement {
	h.expireLots(now)
	var debts []DueSettlement
	h.borrowed = slices.DeleteFunc(h.borrowed, func(l lot) bool {
		if l.amount > tolerance && l.deadline.Add(-BorrowedTokenTTL).After(askedBefore) {
			return false
		}
		debts = append(debts, DueSettlement{Giver: l.giver, Settlement: Settlement{Transfer: l.transfer, Returned: l.amount}})
		return true
	})
	return debts
}
