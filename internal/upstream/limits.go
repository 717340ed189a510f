package upstream

import "time"

// Limits on the head of a response, with the informational responses before it.
const (
	MaxHeadBytes = 32 << 10
	HeadTimeout  = 5 * time.Second // from its first byte; a sound upstream pauses for a second or two
)
