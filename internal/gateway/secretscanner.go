package gateway

import (
	"bufio"
	"io"
)

const maxScanLineBytes = 1 << 20 // longer lines are scanned in pieces

// secretScanner passes on a file of lines and fails at the first line that carries a key.
type secretScanner struct {
	lines   *bufio.Reader
	secret  string
	pending []byte
	err     error
}

func newSecretScanner(file io.Reader, secret string) io.Reader {
	return &secretScanner{lines: bufio.NewReaderSize(file, maxScanLineBytes), secret: secret}
}

// Read implements io.Reader.
func (s *secretScanner) Read(p []byte) (int, error) {
	if len(s.pending) == 0 && s.err == nil {
		s.next()
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	if n == 0 {
		return 0, s.err
	}
	return n, nil
}

func (s *secretScanner) next() {
	line, err := s.lines.ReadSlice('\n')
	if bodyCarriesSecret(line, s.secret) {
		s.err = keyExposedError("file")
		return
	}
	s.pending = line
	if err != bufio.ErrBufferFull {
		s.err = err
	}
}
