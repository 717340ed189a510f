package gateway

import (
	"encoding/json"
	"io"
	"mime/multipart"
	"net/http"
	"strconv"
	"time"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/batch"
	"github.com/masticscale/masticscale/internal/job"
)

const (
	maxFileBytes         = 256 << 20
	maxFieldBytes        = 1 << 10
	defaultPageSize      = 20
	maxPageSize          = 100
	batchClass           = "batch"
	jsonLinesContentType = "application/jsonl"
)

func (g *Gateway) addBatchRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/files", g.authenticated(g.uploadFile))
	mux.HandleFunc("GET /v1/files", g.authenticated(g.listFiles))
	mux.HandleFunc("DELETE /v1/files/{id}", g.authenticated(g.deleteFile))
	mux.HandleFunc("GET /v1/files/{id}", g.authenticated(g.getFile))
	mux.HandleFunc("GET /v1/files/{id}/content", g.authenticated(g.fileContent))
	mux.HandleFunc("POST /v1/batches", g.authenticated(g.createBatch))
	mux.HandleFunc("GET /v1/batches", g.authenticated(g.listBatches))
	mux.HandleFunc("GET /v1/batches/{id}", g.authenticated(g.getBatch))
	mux.HandleFunc("POST /v1/batches/{id}/cancel", g.authenticated(g.cancelBatch))
}

// authenticated wraps a handler that needs the caller's team.
func (g *Gateway) authenticated(next func(w http.ResponseWriter, r *http.Request, who caller) error) http.HandlerFunc {
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

func newFileObject(f job.File) fileObject {
	return fileObject{f.ID, "file", f.Bytes, f.Created.Unix(), f.Filename, f.Purpose}
}

// uploadFile streams the form to storage; the file is never held in memory as a whole.
func (g *Gateway) uploadFile(w http.ResponseWriter, r *http.Request, who caller) error {
	r.Body = http.MaxBytesReader(w, r.Body, maxFileBytes)
	reader, err := r.MultipartReader()
	if err != nil {
		return unreadableForm(err)
	}
	f := form{reader: reader}
	file, err := f.next()
	if err != nil {
		return err
	}
	if file == nil {
		return apierr.New(apierr.Invalid, "the form has no file", `add the field "file"`)
	}
	if f.purpose != "" && f.purpose != batchClass {
		return f.checkPurpose()
	}
	uploaded, err := g.batches.Upload(r.Context(), batch.Upload{
		Team: who.team, Filename: file.FileName(), Purpose: batchClass,
		MaxLines: g.catalog.Current().Limits.MaxItemsPerJob, Confirm: f.finish,
	}, newSecretScanner(file, who.secret))
	if err != nil {
		return err
	}
	writeJSON(w, newFileObject(uploaded))
	return nil
}

func unreadableForm(err error) error {
	return apierr.New(apierr.Invalid, "the form cannot be read", "send multipart/form-data with file and purpose").WithCause(err)
}

// form reads the fields of an upload in the order in which they arrive.
type form struct {
	reader  *multipart.Reader
	purpose string
}

// next returns the next file, or nil at the end of the form.
func (f *form) next() (*multipart.Part, error) {
	for {
		p, err := f.reader.NextPart()
		if err == io.EOF {
			return nil, nil
		}
		if err != nil {
			return nil, unreadableForm(err)
		}
		switch p.FormName() {
		case "file":
			return p, nil
		case "purpose":
			text, err := io.ReadAll(io.LimitReader(p, maxFieldBytes))
			if err != nil {
				return nil, unreadableForm(err)
			}
			f.purpose = string(text)
		}
	}
}

// finish reads the fields that follow the file.
func (f *form) finish() error {
	second, err := f.next()
	if err != nil {
		return err
	}
	if second != nil {
		return apierr.New(apierr.Invalid, "the form has two files", "send one file at a time")
	}
	return f.checkPurpose()
}

func (f *form) checkPurpose() error {
	if f.purpose != batchClass {
		return apierr.Newf(apierr.Invalid, `use the purpose "batch"`, "purpose %.64q is not served", f.purpose)
	}
	return nil
}

func (g *Gateway) listFiles(w http.ResponseWriter, r *http.Request, who caller) error {
	after, limit, err := pageParams(r)
	if err != nil {
		return err
	}
	files, more, err := g.batches.Files(r.Context(), who.team, after, limit)
	if err != nil {
		return err
	}
	list := listObject[fileObject]{Object: "list", Data: []fileObject{}, HasMore: more}
	for _, f := range files {
		list.Data = append(list.Data, newFileObject(f))
	}
	writeJSON(w, list)
	return nil
}

// pageParams parses the pagination parameters of a list request.
func pageParams(r *http.Request) (after string, limit int, err error) {
	limit = defaultPageSize
	if text := r.FormValue("limit"); text != "" {
		limit, err = strconv.Atoi(text)
		if err != nil || limit < 1 || limit > maxPageSize {
			return "", 0, apierr.Newf(apierr.Invalid, "give a number from 1 to 100", "limit %.16q is out of range", text)
		}
	}
	return r.FormValue("after"), limit, nil
}

type deletedObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Deleted bool   `json:"deleted"`
}

func (g *Gateway) deleteFile(w http.ResponseWriter, r *http.Request, who caller) error {
	id := r.PathValue("id")
	if err := g.batches.DeleteFile(r.Context(), who.team, id); err != nil {
		return err
	}
	writeJSON(w, deletedObject{ID: id, Object: "file", Deleted: true})
	return nil
}

func (g *Gateway) getFile(w http.ResponseWriter, r *http.Request, who caller) error {
	f, err := g.batches.File(r.Context(), who.team, r.PathValue("id"))
	if err != nil {
		return err
	}
	writeJSON(w, newFileObject(f))
	return nil
}

// fileContent streams a file part by part. If a read fails midway, the
// connection is aborted, so that the caller cannot mistake the content for
// complete.
func (g *Gateway) fileContent(w http.ResponseWriter, r *http.Request, who caller) error {
	content, err := g.batches.Open(r.Context(), who.team, r.PathValue("id"))
	if err != nil {
		return err
	}
	out := &lazyHeaderWriter{w: w}
	err = content.WriteTo(r.Context(), out)
	if err != nil && out.started {
		requestInfoFrom(r.Context()).log.WithError(err).WithField("event", "content_cut").Warn("file transfer to the caller was cut off")
		panic(http.ErrAbortHandler)
	}
	if err == nil && !out.started {
		w.Header().Set("Content-Type", jsonLinesContentType)
	}
	return err
}

// lazyHeaderWriter sets the content type at the first write, so that an earlier
// error can still be sent as an error response.
type lazyHeaderWriter struct {
	w       http.ResponseWriter
	started bool
}

// Write implements io.Writer.
func (l *lazyHeaderWriter) Write(p []byte) (int, error) {
	if !l.started {
		l.started = true
		l.w.Header().Set("Content-Type", jsonLinesContentType)
	}
	return l.w.Write(p)
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
	ExpectedEndAt    int64             `json:"expected_end_at,omitempty"`
	RequestCounts    batchCounts       `json:"request_counts"`
	Metadata         map[string]string `json:"metadata,omitempty"`
}

type batchCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
}

func newBatchObject(j job.Job) batchObject {
	o := batchObject{
		ID: j.ID, Object: "batch", Endpoint: j.Endpoint, InputFileID: j.File,
		CompletionWindow: formatWindow(j.Window), Status: j.State,
		OutputFileID: batch.OutputFile(j.ID), ErrorFileID: batch.ErrorFile(j.ID),
		CreatedAt: j.Created.Unix(), ExpiresAt: j.Deadline.Unix(),
		RequestCounts: batchCounts(j.Counts), Metadata: j.Metadata,
	}
	if end, known := j.ExpectedEnd(time.Now()); known {
		o.ExpectedEndAt = end.Unix()
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
	body, err := g.readBody(w, r, g.catalog.Current().Limits.MaxBodyBytes)
	if err != nil {
		return err
	}
	var req batchRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return apierr.Newf(apierr.Invalid, "send one JSON object", "the body cannot be read: %v", err)
	}
	window, err := parseWindow(req.CompletionWindow)
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
	writeJSON(w, newBatchObject(j))
	return nil
}

// formatWindow formats whole hours as the API does, for example "24h".
func formatWindow(d time.Duration) string {
	if d%time.Hour == 0 {
		return strconv.Itoa(int(d/time.Hour)) + "h"
	}
	return d.String()
}

func parseWindow(text string) (time.Duration, error) {
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
	after, limit, err := pageParams(r)
	if err != nil {
		return err
	}
	jobs, more, err := g.batches.JobPage(r.Context(), who.team, after, limit)
	if err != nil {
		return err
	}
	list := listObject[batchObject]{Object: "list", Data: []batchObject{}, HasMore: more}
	for _, j := range jobs {
		list.Data = append(list.Data, newBatchObject(j))
	}
	writeJSON(w, list)
	return nil
}

func (g *Gateway) getBatch(w http.ResponseWriter, r *http.Request, who caller) error {
	j, err := g.batches.Job(r.Context(), who.team, r.PathValue("id"))
	if err != nil {
		return err
	}
	writeJSON(w, newBatchObject(j))
	return nil
}

func (g *Gateway) cancelBatch(w http.ResponseWriter, r *http.Request, who caller) error {
	j, err := g.batches.Cancel(r.Context(), who.team, r.PathValue("id"))
	if err != nil {
		return err
	}
	writeJSON(w, newBatchObject(j))
	return nil
}
