package job

import (
	"bytes"
	"encoding/json"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/zstd"
)

const (
	// MaxPartBytes is the maximum uncompressed size of one part. The compressed
	// part stays well under the platform's limit for a value.
	MaxPartBytes = 512 << 10
	MaxPartLines = 256

	codecConcurrency = 4
)

var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(codecConcurrency))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(codecConcurrency), zstd.WithDecoderMaxMemory(64<<20))
)

// Compress compresses the text with zstd.
func Compress(text []byte) []byte { return encoder.EncodeAll(text, nil) }

// Decompress returns the text that Compress was given.
func Decompress(data []byte) ([]byte, error) {
	text, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	return text, nil
}

// Items decodes the items of the part.
func (p FilePart) Items() ([]Item, error) {
	text, err := Decompress(p.Data)
	if err != nil {
		return nil, err
	}
	var items []Item
	for _, line := range bytes.Split(text, []byte("\n")) {
		if len(line) == 0 {
			continue
		}
		var item Item
		if err := json.Unmarshal(line, &item); err != nil {
			return nil, errors.Wrap(err, "decode item")
		}
		items = append(items, item)
	}
	return items, nil
}

// MaxSegmentBytes is the maximum compressed size of one segment. Its base64 form
// in a stored object stays under the platform's limit for a value.
const MaxSegmentBytes = 640 << 10

// NewSegments packs the results into segments, halving the lines until each
// segment is at most MaxSegmentBytes. A single result that is still larger is
// replaced by an error.
func NewSegments(lines []ResultLine) ([]Segment, error) {
	text, err := encodeLines(lines)
	if err != nil {
		return nil, err
	}
	data := Compress(text)
	if len(data) <= MaxSegmentBytes {
		return []Segment{{Data: data}}, nil
	}
	if len(lines) == 1 {
		return NewSegments([]ResultLine{NewFailure(lines[0].CustomID, CodeTooLarge, "the answer is too large to be kept; ask for fewer tokens")})
	}
	half := len(lines) / 2
	first, err := NewSegments(lines[:half])
	if err != nil {
		return nil, err
	}
	second, err := NewSegments(lines[half:])
	return append(first, second...), err
}

func encodeLines(lines []ResultLine) ([]byte, error) {
	var text bytes.Buffer
	enc := json.NewEncoder(&text)
	for _, line := range lines {
		if err := enc.Encode(line); err != nil {
			return nil, errors.Wrap(err, "encode result")
		}
	}
	return text.Bytes(), nil
}

// Lines decodes the results of the segment.
func (s Segment) Lines() ([]ResultLine, error) {
	text, err := Decompress(s.Data)
	if err != nil {
		return nil, err
	}
	var lines []ResultLine
	for _, raw := range bytes.Split(text, []byte("\n")) {
		if len(raw) == 0 {
			continue
		}
		var line ResultLine
		if err := json.Unmarshal(raw, &line); err != nil {
			return nil, errors.Wrap(err, "decode result")
		}
		lines = append(lines, line)
	}
	return lines, nil
}
