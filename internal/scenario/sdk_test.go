package scenario

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/masticscale/masticscale/internal/emulator/engine"
)

const sdkTimeout = 60 * time.Second

func init() { commands["sdk"] = cmdSDK }

// cmdSDK tests a host with the OpenAI SDK: sdk URL KEY MODEL
func cmdSDK(ts *testscript.TestScript, _ bool, args []string) {
	checkUsage(ts, len(args) == 3, "sdk URL KEY MODEL")
	ctx, cancel := context.WithTimeout(context.Background(), sdkTimeout)
	defer cancel()
	s := sdkSession{
		ctx:    ctx,
		client: openai.NewClient(option.WithBaseURL(args[0]+"/v1/"), option.WithAPIKey(args[1]), option.WithMaxRetries(0)),
		base:   args[0],
		model:  args[2],
	}
	for _, step := range []struct {
		name string
		run  func() error
	}{
		{"models", s.models}, {"chat", s.chat}, {"stream", s.stream}, {"cancel", s.cancel},
		{"batch", s.batch}, {"errors", s.errors},
	} {
		if err := step.run(); err != nil {
			ts.Fatalf("sdk %s: %v", step.name, err)
		}
	}
}

type sdkSession struct {
	ctx    context.Context
	client openai.Client
	base   string
	model  string
}

func (s sdkSession) params(prompt string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     s.model,
		MaxTokens: openai.Int(tokens),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	}
}

func (s sdkSession) models() error {
	page, err := s.client.Models.List(s.ctx)
	if err != nil {
		return err
	}
	for _, m := range page.Data {
		if m.ID == s.model {
			return nil
		}
	}
	return errors.Errorf("model %s is not listed", s.model)
}

func (s sdkSession) chat() error {
	const prompt, tokens = "Which oil for the jack rail?", 8
	answer, err := s.client.Chat.Completions.New(s.ctx, s.params(prompt, tokens))
	if err != nil {
		return err
	}
	return checkText(answer.Choices[0].Message.Content, prompt, tokens)
}

func checkText(got, prompt string, tokens int) error {
	if want := engine.CompletionText(prompt, tokens); got != want {
		return errors.Errorf("answer %q, want %q", got, want)
	}
	return nil
}

func (s sdkSession) stream() error {
	const prompt, tokens = "Which quill fits?", 12
	stream := s.client.Chat.Completions.NewStreaming(s.ctx, s.params(prompt, tokens))
	defer func() { _ = stream.Close() }()
	var text strings.Builder
	for stream.Next() {
		for _, c := range stream.Current().Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	if err := stream.Err(); err != nil {
		return err
	}
	return checkText(text.String(), prompt, tokens)
}

// cancel disconnects in the middle of a stream and checks that the SDK reports an
// error.
func (s sdkSession) cancel() error {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	stream := s.client.Chat.Completions.NewStreaming(ctx, s.params("a very long answer", 5000))
	defer func() { _ = stream.Close() }()
	if !stream.Next() {
		return errors.Errorf("no first event: %v", stream.Err())
	}
	cancel()
	for stream.Next() {
	}
	if stream.Err() == nil {
		return errors.New("the stream ended as if it were complete")
	}
	return nil
}

func (s sdkSession) batch() error {
	line := `{"custom_id":"one","method":"POST","url":"/v1/chat/completions","body":{"model":"` + s.model +
		`","max_tokens":4,"messages":[{"role":"user","content":"hello"}]}}` + "\n"
	file, err := s.client.Files.New(s.ctx, openai.FileNewParams{
		File:    openai.File(strings.NewReader(line), "items.jsonl", "application/jsonl"),
		Purpose: openai.FilePurposeBatch,
	})
	if err != nil {
		return err
	}
	b, err := s.client.Batches.New(s.ctx, openai.BatchNewParams{
		InputFileID: file.ID, Endpoint: openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	})
	if err != nil {
		return err
	}
	for b.Status != openai.BatchStatusCompleted {
		time.Sleep(awaitInterval)
		if b, err = s.client.Batches.Get(s.ctx, b.ID); err != nil {
			return err
		}
	}
	content, err := s.client.Files.Content(s.ctx, b.OutputFileID)
	if err != nil {
		return err
	}
	defer func() { _ = content.Body.Close() }()
	text, err := io.ReadAll(content.Body)
	if err != nil {
		return err
	}
	if !strings.Contains(string(text), engine.CompletionText("hello", 4)) {
		return errors.Errorf("results %q hold no answer", text)
	}
	return nil
}

func (s sdkSession) errors() error {
	var e *openai.Error
	_, err := s.client.Chat.Completions.New(s.ctx, openai.ChatCompletionNewParams{Model: "no-such-model"})
	if !errors.As(err, &e) || e.StatusCode != 404 || e.Code != "not_found" {
		return errors.Errorf("unknown model: %v", err)
	}
	wrongKeyClient := openai.NewClient(option.WithBaseURL(s.base+"/v1/"), option.WithAPIKey("msk-wrong"), option.WithMaxRetries(0))
	_, err = wrongKeyClient.Chat.Completions.New(s.ctx, s.params("hello", 4))
	if !errors.As(err, &e) || e.StatusCode != 401 || e.Code != "invalid_api_key" {
		return errors.Errorf("wrong key: %v", err)
	}
	return nil
}
