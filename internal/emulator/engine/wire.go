package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const maxBodyBytes = 16 << 20

func readRequest(r *http.Request) ([]byte, request, error) {
	var req request
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return nil, req, err
	}
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, req, err
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultMaxTokens
	}
	return body, req, nil
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type text struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      *text   `json:"message,omitempty"`
	Delta        *text   `json:"delta,omitempty"`
	Text         string  `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// writer sends an answer whole or as server-sent events.
type writer struct {
	w      http.ResponseWriter
	flush  func() error
	req    request
	id     string
	prompt int
	count  int
	whole  strings.Builder
}

func newWriter(w http.ResponseWriter, req request, name string, promptTokens int) *writer {
	out := &writer{
		w:      w,
		flush:  http.NewResponseController(w).Flush,
		req:    req,
		id:     fmt.Sprintf("chatcmpl-%s-%d", name, time.Now().UnixNano()),
		prompt: promptTokens,
	}
	if req.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
	}
	return out
}

func (o *writer) word(word string) {
	o.count++
	if !o.req.Stream {
		o.whole.WriteString(word)
		return
	}
	c := choice{Text: word}
	if o.isChat() {
		c = choice{Delta: &text{Role: "assistant", Content: word}}
	}
	o.event(o.object(c, nil, ".chunk"))
}

func (o *writer) isChat() bool { return len(o.req.Messages) > 0 }

func (o *writer) object(c choice, u *usage, suffix string) completion {
	kind := "text_completion"
	if o.isChat() {
		kind = "chat.completion" + suffix
	}
	return completion{ID: o.id, Object: kind, Created: time.Now().Unix(), Model: o.req.Model, Choices: []choice{c}, Usage: u}
}

func (o *writer) event(c completion) {
	data, _ := json.Marshal(c)
	_, _ = fmt.Fprintf(o.w, "data: %s\n\n", data)
	_ = o.flush()
}

func (o *writer) finish() {
	stop := "stop"
	u := &usage{o.prompt, o.count, o.prompt + o.count}
	if o.req.Stream {
		c := choice{FinishReason: &stop}
		if o.isChat() {
			c.Delta = &text{}
		}
		o.event(o.object(c, u, ".chunk"))
		_, _ = fmt.Fprint(o.w, "data: [DONE]\n\n")
		_ = o.flush()
		return
	}
	c := choice{Text: o.whole.String(), FinishReason: &stop}
	if o.isChat() {
		c = choice{Message: &text{Role: "assistant", Content: o.whole.String()}, FinishReason: &stop}
	}
	o.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(o.w).Encode(o.object(c, u, ""))
}
