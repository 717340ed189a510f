package gateway

import (
	"bufio"
	"io"
)

const guardedLineBytes = 1 << 20 // longer lines are looked at in pieces

// secretGuard reads a file of lines and fails at the first that carries a key.
type secretGuard struct {
	lines  *bufio.Reader
	secret string
	rest   []byte
	err    error
}

func guardSecret(file io.Reader, secret string) io.Reader {
	return &secretGuard{lines: bufio.NewReaderSize(file, guardedLineBytes), secret: secret}
}

// Read implements io.Reader.
func (s *secretGuard) Read(p []byte) (int, error) {
	if len(s.rest) == 0 && s.err == nil {
		s.next()
	}
	n := copy(p, s.rest)
	s.rest = s.rest[n:]
	if n == 0 {
		return 0, s.err
	}
	return n, nil
}

func (s *secretGuard) next() {
	line, err := s.lines.ReadSlice('\n')
	if bodyCarriesSecret(line, s.secret) {
		s.err = secretIn("file")
		return
	}
	s.rest = line
	if err != bufio.ErrBufferFull {
		s.err = err
	}
}
