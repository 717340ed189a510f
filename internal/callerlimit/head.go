package callerlimit

import "time"

const (
	// maxHeadLines is several times what proxies allow by default (100). A line takes up to
	// lineBytes once it is parsed, however short it is.
	maxHeadLines = 1000
	lineBytes    = 150

	// maxEmptyLines is what net/http accepts between two requests, as CR and LF.
	maxEmptyLines = 2

	headSlack     = 4 << 10     // beyond the limit for a head, as it is read ahead
	headTimeSlack = time.Second // on the way from the caller
)

// HeadLimits are those of the configuration; 0 is no limit.
type HeadLimits struct {
	Bytes int
	Time  time.Duration // from the first byte
	Idle  time.Duration // for which a connection may be idle
}

// headCounter counts what has arrived of a head.
type headCounter struct {
	bytes, lines, empty int
	begun               bool // with the request line
	lineBegun           bool
	ended               bool // the rest is of the body
}

// add counts the bytes. It returns the reason to refuse the head, or none.
func (h *headCounter) add(text []byte, limits HeadLimits) Reason {
	h.bytes += len(text)
	for _, c := range text {
		if h.ended {
			break
		}
		h.addByte(c)
	}
	switch {
	case h.empty > maxEmptyLines:
		return EmptyLines
	case limits.Bytes > 0 && h.bytes > limits.Bytes+headSlack:
		return HeadTooLong
	case h.lines > maxHeadLines:
		return TooManyLines
	}
	return ""
}

func (h *headCounter) addByte(c byte) {
	switch {
	case c == '\n' && !h.begun:
		h.empty++
	case c == '\n':
		h.lines++
		h.ended = !h.lineBegun
		h.lineBegun = false
	case c != '\r':
		h.begun, h.lineBegun = true, true
	}
}

// cost returns the bytes that the head takes, parsed and unparsed.
func (h *headCounter) cost() int64 { return int64(h.bytes + h.lines*lineBytes) }
