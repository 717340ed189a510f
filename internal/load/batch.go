package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
)

const (
	batchPoll    = 250 * time.Millisecond
	batchAfter   = 2 * time.Minute // after the online load has ended
	batchRetries = 3
)

// BatchResult is what the job underneath showed.
type BatchResult struct {
	Items     int     `json:"items"`
	Completed int     `json:"completed"`
	Failed    int     `json:"failed"`
	Status    string  `json:"status"`
	Seconds   float64 `json:"seconds"` // from submission to the end
	During    int     `json:"during"`  // items completed while online load ran
	Error     string  `json:"error,omitempty"`
	// OutputFile is the id of the file with the results.
	OutputFile string `json:"output_file,omitempty"`
}

// batchRun is a job in progress. A nil run is no job.
type batchRun struct {
	client  openai.Client
	id      string
	started time.Time
	result  BatchResult
}

// startBatch submits the plan's job.
func startBatch(ctx context.Context, p Plan) *batchRun {
	if p.Batch == nil {
		return nil
	}
	run := &batchRun{
		client: openai.NewClient(option.WithBaseURL(p.Hosts[0]+"/v1/"), option.WithAPIKey(p.Batch.Key),
			option.WithMaxRetries(batchRetries)),
		started: time.Now(),
		result:  BatchResult{Items: p.Batch.Items},
	}
	if err := run.submit(ctx, *p.Batch); err != nil {
		run.result.Error = err.Error()
	}
	return run
}

type batchLine struct {
	CustomID string      `json:"custom_id"`
	Method   string      `json:"method"`
	URL      string      `json:"url"`
	Body     chatRequest `json:"body"`
}

func (b *batchRun) submit(ctx context.Context, spec Batch) error {
	var text bytes.Buffer
	enc := json.NewEncoder(&text)
	for i := range spec.Items {
		line := batchLine{CustomID: fmt.Sprintf("item-%d", i), Method: "POST", URL: "/v1/chat/completions", Body: chatRequest{
			Model: spec.Model, MaxTokens: orDefault(spec.MaxTokens, defaultMaxTokens),
			Messages: []chatMessage{{"user", Prompt("batch", i, defaultPromptTokens)}},
		}}
		if err := enc.Encode(line); err != nil {
			return err
		}
	}
	file, err := b.client.Files.New(ctx, openai.FileNewParams{
		File: openai.File(&text, "items.jsonl", "application/jsonl"), Purpose: openai.FilePurposeBatch,
	})
	if err != nil {
		return err
	}
	job, err := b.client.Batches.New(ctx, openai.BatchNewParams{
		InputFileID: file.ID, Endpoint: openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	})
	if err != nil {
		return err
	}
	b.id = job.ID
	return nil
}

// end notes what was done while online load ran, then waits for the job.
func (b *batchRun) end(ctx context.Context) *BatchResult {
	if b == nil {
		return nil
	}
	if b.id == "" {
		return &b.result
	}
	ctx, cancel := context.WithTimeout(ctx, batchAfter)
	defer cancel()
	for first := true; ; first = false {
		job, err := b.client.Batches.Get(ctx, b.id)
		if err == nil {
			b.note(job, first)
		}
		if err == nil && job.Status == openai.BatchStatusCompleted || ctx.Err() != nil {
			return &b.result
		}
		sleepUntil(ctx, nil, time.Now().Add(batchPoll))
	}
}

func (b *batchRun) note(job *openai.Batch, first bool) {
	b.result.Status = string(job.Status)
	b.result.OutputFile = job.OutputFileID
	b.result.Completed = int(job.RequestCounts.Completed)
	b.result.Failed = int(job.RequestCounts.Failed)
	b.result.Seconds = time.Since(b.started).Seconds()
	if first {
		b.result.During = b.result.Completed
	}
}
