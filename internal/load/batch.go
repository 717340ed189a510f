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
	batchPollInterval = 250 * time.Millisecond
	batchWaitTimeout  = 2 * time.Minute // counted from the end of the online load
	batchMaxRetries   = 3
)

// BatchResult holds the measurements of the batch job of a run.
type BatchResult struct {
	Items     int     `json:"items"`
	Completed int     `json:"completed"`
	Failed    int     `json:"failed"`
	Status    string  `json:"status"`
	Seconds   float64 `json:"seconds"` // from submission to the last status read
	During    int     `json:"during"`  // items completed by the end of the online load
	Error     string  `json:"error,omitempty"`
	// OutputFile is the ID of the results file.
	OutputFile string `json:"output_file,omitempty"`
}

// batchRun tracks a submitted batch job. It is nil if the plan has no job.
type batchRun struct {
	client  openai.Client
	id      string
	started time.Time
	result  BatchResult
}

// startBatch submits the plan's batch job, if it has one.
func startBatch(ctx context.Context, p Plan) *batchRun {
	if p.Batch == nil {
		return nil
	}
	run := &batchRun{
		client: openai.NewClient(option.WithBaseURL(p.Hosts[0]+"/v1/"), option.WithAPIKey(p.Batch.Key),
			option.WithMaxRetries(batchMaxRetries)),
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

// waitForJob records the progress at the end of the online load, then polls the
// job until it completes or the wait times out.
func (b *batchRun) waitForJob(ctx context.Context) *BatchResult {
	if b == nil {
		return nil
	}
	if b.id == "" {
		return &b.result
	}
	ctx, cancel := context.WithTimeout(ctx, batchWaitTimeout)
	defer cancel()
	for first := true; ; first = false {
		job, err := b.client.Batches.Get(ctx, b.id)
		if err == nil {
			b.updateResult(job, first)
		}
		if err == nil && job.Status == openai.BatchStatusCompleted || ctx.Err() != nil {
			return &b.result
		}
		sleepUntil(ctx, nil, time.Now().Add(batchPollInterval))
	}
}

func (b *batchRun) updateResult(job *openai.Batch, first bool) {
	b.result.Status = string(job.Status)
	b.result.OutputFile = job.OutputFileID
	b.result.Completed = int(job.RequestCounts.Completed)
	b.result.Failed = int(job.RequestCounts.Failed)
	b.result.Seconds = time.Since(b.started).Seconds()
	if first {
		b.result.During = b.result.Completed
	}
}
