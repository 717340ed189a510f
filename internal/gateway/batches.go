package gateway

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/batch"
	"github.com/masticscale/masticscale/internal/job"
)

const (
	maxFileBytes   = 256 << 20
	multipartBytes = 8 << 20 // kept in memory while a form is read
	batchClass     = "batch"
)

func (g *Gateway) addBatchRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/files", g.asTeam(g.uploadFile))
	mux.HandleFunc("GET /v1/files/{id}", g.asTeam(g.getFile))
	mux.HandleFunc("GET /v1/files/{id}/content", g.asTeam(g.fileContent))
	mux.HandleFunc("POST /v1/batches", g.asTeam(g.createBatch))
	mux.HandleFunc("GET /v1/batches", g.asTeam(g.listBatches))
	mux.HandleFunc("GET /v1/batches/{id}", g.asTeam(g.getBatch))
	mux.HandleFunc("POST /v1/batches/{id}/cancel", g.asTeam(g.cancelBatch))
}

// asTeam runs a handler for the team of the caller's key.
func (g *Gateway) asTeam(next func(w http.ResponseWriter, r *http.Request, who caller) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		who, err := g.authenticate(r)
		if err == nil {
			err = next(w, r, who)
		}
		if err != nil {
			g.fail(w, r, batchClass, who.team, err)
		}
	}
}

type fileObject struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
}

func fileOf(f job.File) fileObject {
	return fileObject{f.ID, "file", f.Bytes, f.Created.Unix(), f.Filename, f.Purpose}
}

func (g *Gateway) uploadFile(w http.ResponseWriter, r *http.Request, who caller) error {
	r.Body = http.MaxBytesReader(w, r.Body, maxFileBytes)
	if err := r.ParseMultipartForm(multipartBytes); err != nil {
		return apierr.New(apierr.Invalid, "the form cannot be read", "send multipart/form-data with file and purpose").WithCause(err)
	}
	defer func() { _ = r.MultipartForm.RemoveAll() }()
	part, header, err := r.FormFile("file")
	if err != nil {
		return apierr.New(apierr.Invalid, "the form has no file", `add the field "file"`)
	}
	defer func() { _ = part.Close() }()
	text, err := io.ReadAll(part)
	if err != nil {
		return apierr.New(apierr.Invalid, "the file did not arrive whole", "send it again").WithCause(err)
	}
	if purpose := r.FormValue("purpose"); purpose != "batch" {
		return apierr.Newf(apierr.Invalid, `use the purpose "batch"`, "purpose %q is not served", purpose)
	}
	f, err := g.batches.Upload(r.Context(), who.team, header.Filename, "batch", text)
	if err != nil {
		return err
	}
	writeJSON(w, fileOf(f))
	return nil
}

func (g *Gateway) getFile(w http.ResponseWriter, r *http.Request, who caller) error {
	f, err := g.batches.File(r.Context(), who.team, r.PathValue("id"))
	if err != nil {
		return err
	}
	writeJSON(w, fileOf(f))
	return nil
}

func (g *Gateway) fileContent(w http.ResponseWriter, r *http.Request, who caller) error {
	var text bytes.Buffer
	if err := g.batches.WriteContent(r.Context(), who.team, r.PathValue("id"), &text); err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/jsonl")
	_, _ = text.WriteTo(w)
	return nil
}

type batchRequest struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

type batchObject struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint"`
	InputFileID      string            `json:"input_file_id"`
	CompletionWindow string            `json:"completion_window"`
	Status           job.State         `json:"status"`
	OutputFileID     string            `json:"output_file_id,omitempty"`
	ErrorFileID      string            `json:"error_file_id,omitempty"`
	CreatedAt        int64             `json:"created_at"`
	ExpiresAt        int64             `json:"expires_at"`
	CompletedAt      int64             `json:"completed_at,omitempty"`
	CancellingAt     int64             `json:"cancelling_at,omitempty"`
	CancelledAt      int64             `json:"cancelled_at,omitempty"`
	RequestCounts    batchCounts       `json:"request_counts"`
	Metadata         map[string]string `json:"metadata,omitempty"`
}

type batchCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
}

func batchOf(j job.Job) batchObject {
	o := batchObject{
		ID: j.ID, Object: "batch", Endpoint: j.Endpoint, InputFileID: j.File,
		CompletionWindow: j.Deadline.Sub(j.Created).String(), Status: j.State,
		OutputFileID: batch.OutputFile(j.ID), ErrorFileID: batch.ErrorFile(j.ID),
		CreatedAt: j.Created.Unix(), ExpiresAt: j.Deadline.Unix(),
		RequestCounts: batchCounts(j.Counts), Metadata: j.Metadata,
	}
	if j.Cancelled != nil {
		o.CancellingAt = j.Cancelled.Unix()
	}
	if j.Ended != nil && j.State == job.Cancelled {
		o.CancelledAt = j.Ended.Unix()
	}
	if j.Ended != nil && j.State == job.Completed {
		o.CompletedAt = j.Ended.Unix()
	}
	return o
}

func (g *Gateway) createBatch(w http.ResponseWriter, r *http.Request, who caller) error {
	body, err := readBody(w, r, g.catalog.Current().Limits.MaxBodyBytes)
	if err != nil {
		return err
	}
	var req batchRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return apierr.Newf(apierr.Invalid, "send one JSON object", "the body cannot be read: %v", err)
	}
	window, err := windowOf(req.CompletionWindow)
	if err != nil {
		return err
	}
	j, err := g.batches.Submit(r.Context(), batch.Submission{
		Team: who.team, File: req.InputFileID, Endpoint: req.Endpoint, Window: window,
		Metadata: req.Metadata, IdempotencyKey: r.Header.Get("Idempotency-Key"),
	})
	if err != nil {
		return err
	}
	writeJSON(w, batchOf(j))
	return nil
}

func windowOf(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	window, err := time.ParseDuration(text)
	if err != nil || window <= 0 {
		return 0, apierr.Newf(apierr.Invalid, `write it as in "24h"`, "completion_window %q is not a time", text)
	}
	return window, nil
}

func (g *Gateway) listBatches(w http.ResponseWriter, r *http.Request, who caller) error {
	jobs, err := g.batches.Jobs(r.Context(), who.team)
	if err != nil {
		return err
	}
	list := listObject[batchObject]{Object: "list", Data: []batchObject{}}
	for _, j := range jobs {
		list.Data = append(list.Data, batchOf(j))
	}
	writeJSON(w, list)
	return nil
}

func (g *Gateway) getBatch(w http.ResponseWriter, r *http.Request, who caller) error {
	j, err := g.batches.Job(r.Context(), who.team, r.PathValue("id"))
	if err != nil {
		return err
	}
	writeJSON(w, batchOf(j))
	return nil
}

func (g *Gateway) cancelBatch(w http.ResponseWriter, r *http.Request, who caller) error {
	j, err := g.batches.Cancel(r.Context(), who.team, r.PathValue("id"))
	if err != nil {
		return err
	}
	writeJSON(w, batchOf(j))
	return nil
}
