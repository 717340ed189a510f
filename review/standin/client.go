package main

import (
	"bytes"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"strings"
	"time"
)

// newID returns a request's id.
func newID() string {
	raw := make([]byte, 8)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// client uses a new channel for each call.
func client(limit time.Duration) *http.Client {
	return &http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
}

// answer is what a caller got.
type answer struct {
	status int    // zero without an answer
	body   string // as far as it came
	err    error  // the answer isn't complete
}

func (a answer) String() string {
	text := fmt.Sprintf("status %d, %d bytes", a.status, len(a.body))
	if a.err != nil {
		text += fmt.Sprintf(", not complete: %v", a.err)
	}
	return text
}

func call(method, url, id string, header map[string]string, body []byte, limit time.Duration) answer {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = domain
	req.Header.Set("Api-Key", key)
	if id != "" {
		req.Header.Set(wire["request"], id)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := client(limit).Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(raw), err: err}
}

// stream sends an online request, whose prompt has the part and one of its own. Requests with
// the same body have the same path.
func stream(h *host, part string, w work) (string, answer) {
	id := newID()
	body, _ := json.Marshal(w) // a struct of plain fields can always be encoded
	header := map[string]string{
		"X-Model": "m", wire["tokens"]: "450,60", wire["prompt"]: fmt.Sprintf("%s:200,%s:250", part, fmt.Sprintf("%08x", crc32.ChecksumIEEE(body))), wire["time left"]: "5000",
	}
	return id, call(http.MethodPost, fmt.Sprintf("http://%s/reply/%08x", h.callers, crc32.ChecksumIEEE(body)), id, header, body, 6*time.Second)
}

// isWholeStream reports whether the answer has all events of the request.
func (a answer) isWholeStream(id string, events int) bool {
	var want strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&want, "id: %d\ndata: %s\n\n", n, eventData(id, n))
	}
	return a.err == nil && a.status == http.StatusOK && a.body == want.String()
}

// batchItem is an item of a batch job.
type batchItem struct {
	ID     string            `json:"id"`
	Path   string            `json:"path"`
	Header map[string]string `json:"headers"`
	Body   string            `json:"body"`
	Tokens int               `json:"tokens"`
	work   work
}

// newItem returns an item whose prompt has the part and one of its own.
func newItem(part string, w work) batchItem {
	id := newID()
	body, _ := json.Marshal(w)
	return batchItem{
		ID: id, Path: "/batch/" + id[:4], Body: base64.StdEncoding.EncodeToString(body), Tokens: 650, work: w,
		Header: map[string]string{"X-Model": "m", wire["tokens"]: "350,300", wire["prompt"]: fmt.Sprintf("%s:100,%s:250", part, id[:8])},
	}
}

// submit hands a batch job in.
func submit(h *host, job string, items []batchItem, limit time.Duration) answer {
	body, _ := json.Marshal(map[string]any{"items": items})
	header := map[string]string{"Content-Type": "application/json", wire["time left"]: fmt.Sprint(limit.Milliseconds())}
	return call(http.MethodPost, "http://"+h.callers+"/batch/"+job, job, header, body, limit)
}

// itemResult is a result of an item.
type itemResult struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
}

// read returns the results of a batch job from the first one on.
func read(h *host, job string) (total int, results []itemResult, err error) {
	for {
		a := call(http.MethodGet, fmt.Sprintf("http://%s%s%s?after=%d", h.callers, wire["results path"], job, len(results)), "", map[string]string{wire["wait"]: "1"}, nil, 5*time.Second)
		if a.err != nil || a.status != http.StatusOK {
			return 0, nil, fmt.Errorf("read of job %s: %s", job, a)
		}
		var page struct {
			Total   int          `json:"total"`
			Results []itemResult `json:"results"`
		}
		if err := json.Unmarshal([]byte(a.body), &page); err != nil {
			return 0, nil, err
		}
		results = append(results, page.Results...)
		if len(page.Results) == 0 || len(results) >= page.Total {
			return page.Total, results, nil
		}
	}
}
