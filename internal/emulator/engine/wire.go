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

type outputMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int            `json:"index"`
	Message      *outputMessage `json:"message,omitempty"`
	Delta        *outputMessage `json:"delta,omitempty"`
	Text         string         `json:"text,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// completionWriter writes a response as one JSON object or as server-sent events.
type completionWriter struct {
	w                http.ResponseWriter
	flush            func() error
	req              request
	id               string
	promptTokens     int
	completionTokens int
	text             strings.Builder
	events           int // sent; each has its number as its id, so that clients can check the order
}

func newCompletionWriter(w http.ResponseWriter, req request, name string, promptTokens int) *completionWriter {
	out := &completionWriter{
		w:            w,
		flush:        http.NewResponseController(w).Flush,
		req:          req,
		id:           fmt.Sprintf("chatcmpl-%s-%d", name, time.Now().UnixNano()),
		promptTokens: promptTokens,
	}
	if req.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
	}
	return out
}

func (o *completionWriter) writeWord(word string) {
	o.completionTokens++
	if !o.req.Stream {
		o.text.WriteString(word)
		return
	}
	c := choice{Text: word}
	if o.isChat() {
		c = choice{Delta: &outputMessage{Role: "assistant", Content: word}}
	}
	o.writeEvent(o.newCompletion(c, nil, ".chunk"))
}

func (o *completionWriter) isChat() bool { return len(o.req.Messages) > 0 }

func (o *completionWriter) newCompletion(c choice, u *usage, suffix string) completion {
	kind := "text_completion"
	if o.isChat() {
		kind = "chat.completion" + suffix
	}
	return completion{ID: o.id, Object: kind, Created: time.Now().Unix(), Model: o.req.Model, Choices: []choice{c}, Usage: u}
}

func (o *completionWriter) writeEvent(c completion) {
	data, _ := json.Marshal(c)
	o.writeData(data)
}

func (o *completionWriter) writeData(data []byte) {
	o.events++
	_, _ = fmt.Fprintf(o.w, "id: %d\ndata: %s\n\n", o.events, data)
	_ = o.flush()
}

func (o *completionWriter) finish() {
	stop := "stop"
	u := &usage{o.promptTokens, o.completionTokens, o.promptTokens + o.completionTokens}
	if o.req.Stream {
		c := choice{FinishReason: &stop}
		if o.isChat() {
			c.Delta = &outputMessage{}
		}
		o.writeEvent(o.newCompletion(c, u, ".chunk"))
		o.writeData([]byte("[DONE]"))
		return
	}
	c := choice{Text: o.text.String(), FinishReason: &stop}
	if o.isChat() {
		c = choice{Message: &outputMessage{Role: "assistant", Content: o.text.String()}, FinishReason: &stop}
	}
	o.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(o.w).Encode(o.newCompletion(c, u, ""))
}
