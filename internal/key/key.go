// Package key defines callers' API keys. Only the hash of a secret is stored; the
// secret itself is shown once, when the key is created.
package key

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"strings"
	"time"
)

const (
	secretPrefix = "msk-"
	secretBytes  = 32
)

// ID is the public identifier of a key: the hexadecimal SHA-256 of its secret.
type ID string

// Spec is the stored form of a key.
type Spec struct {
	Team      string     `json:"team"`
	Label     string     `json:"label,omitempty"`
	Created   time.Time  `json:"created"`
	Withdrawn *time.Time `json:"withdrawn,omitempty"`
	CutActive bool       `json:"cut_active,omitempty"` // cancel in-flight requests on withdrawal
}

// Active reports whether the key may be used.
func (s Spec) Active() bool { return s.Withdrawn == nil }

// Withdraw returns a withdrawn copy of the key. A repeated withdrawal keeps the
// time of the first one.
func (s Spec) Withdraw(now time.Time, cutActive bool) Spec {
	if s.Withdrawn == nil {
		s.Withdrawn = &now
	}
	s.CutActive = s.CutActive || cutActive
	return s
}

// NewSecret returns a random secret.
func NewSecret() string {
	var b [secretBytes]byte
	_, _ = rand.Read(b[:]) // documented never to fail
	return secretPrefix + base64.RawURLEncoding.EncodeToString(b[:])
}

// IDOf returns the ID of the key with the given secret.
func IDOf(secret string) ID {
	sum := sha256.Sum256([]byte(secret))
	return ID(hex.EncodeToString(sum[:]))
}

// LooksLikeSecret reports whether the text has the prefix of a secret.
func LooksLikeSecret(text string) bool { return strings.HasPrefix(text, secretPrefix) }
