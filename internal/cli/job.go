package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/masticscale/masticscale/internal/apierr"
)

const (
	hostEnv         = "MASTICSCALE_HOST"
	keyEnv          = "MASTICSCALE_KEY"
	jobPollInterval = 300 * time.Millisecond
	uploadTimeout   = 5 * time.Minute
)

// batchObject is the representation of a batch in the API.
type batchObject struct {
	ID            string `json:"id"`
	Status        string `json:"status"`
	OutputFileID  string `json:"output_file_id"`
	ErrorFileID   string `json:"error_file_id"`
	RequestCounts struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
		Cancelled int `json:"cancelled"`
	} `json:"request_counts"`
}

func (b batchObject) terminal() bool { return b.Status == "completed" || b.Status == "cancelled" }

// callerClient calls the API for callers with a team's key.
type callerClient struct {
	baseURL string
	key     string
	http    *http.Client
}

func newJobCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "job",
		Short: "Submit, follow and cancel batch jobs, with a team's key",
	}
	c.PersistentFlags().String("host", os.Getenv(hostEnv), "address of any host for callers, as http://ip:port")
	c.PersistentFlags().String("ca", os.Getenv(caFileEnv), "file with the authority of the host's certificate, in PEM form")
	c.PersistentFlags().String("key", "", "the team's key; MASTICSCALE_KEY where not given")
	c.PersistentFlags().StringP("output", "o", "table", "form of the output: table or json")
	c.AddCommand(newJobSubmitCommand(), newJobListCommand(), newJobShowCommand(), newJobWaitCommand(), newJobCancelCommand(), newJobResultsCommand())
	return c
}

func newCallerClient(c *cobra.Command) (*callerClient, error) {
	base, _ := c.Flags().GetString("host")
	key, _ := c.Flags().GetString("key")
	if key == "" {
		key = os.Getenv(keyEnv)
	}
	if base == "" || key == "" {
		return nil, errors.Wrapf(errUsage, "pass --host and --key, or set %s and %s", hostEnv, keyEnv)
	}
	caFile, _ := c.Flags().GetString("ca")
	transport, err := newTransport(caFile)
	if err != nil {
		return nil, err
	}
	return &callerClient{baseURL: strings.TrimRight(base, "/"), key: key, http: &http.Client{Transport: transport}}, nil
}

func (c *callerClient) do(ctx context.Context, method, path, contentType string, body io.Reader, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	if contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(errUnreachable, err.Error())
	}
	if resp.StatusCode >= 300 {
		defer func() { _ = resp.Body.Close() }()
		return nil, decodeCallerError(resp)
	}
	return resp, nil
}

func decodeCallerError(resp *http.Response) error {
	var body struct {
		Error struct {
			Message string `json:"message"`
			Code    string `json:"code"`
		} `json:"error"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil || body.Error.Code == "" {
		return errors.Errorf("the host responded with status %s", resp.Status)
	}
	return &apierr.Error{Kind: apierr.Kind(body.Error.Code), Message: body.Error.Message}
}

func (c *callerClient) callJSON(ctx context.Context, method, path string, in any, header http.Header, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	resp, err := c.do(ctx, method, path, "application/json", bytes.NewReader(data), header)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return decodeJSON(resp.Body, out)
}

func printBatches(c *cobra.Command, value any, batches ...batchObject) error {
	t := table{header: []string{"ID", "STATUS", "TOTAL", "COMPLETED", "FAILED", "CANCELLED"}}
	for _, b := range batches {
		n := b.RequestCounts
		t.addRow(b.ID, b.Status, n.Total, n.Completed, n.Failed, n.Cancelled)
	}
	return printResult(c, value, t)
}

func newJobSubmitCommand() *cobra.Command {
	var window, endpoint, idempotencyKey string
	c := &cobra.Command{
		Use:   "submit FILE.jsonl",
		Short: "Submit a job of one item a line",
		Args:  exactArgs("FILE.jsonl"),
		RunE: func(c *cobra.Command, args []string) error {
			api, err := newCallerClient(c)
			if err != nil {
				return err
			}
			file, err := api.upload(c.Context(), args[0])
			if err != nil {
				return err
			}
			header := http.Header{}
			if idempotencyKey != "" {
				header.Set("Idempotency-Key", idempotencyKey)
			}
			req := map[string]string{"input_file_id": file, "endpoint": endpoint, "completion_window": window}
			var b batchObject
			if err := api.callJSON(c.Context(), http.MethodPost, "/v1/batches", req, header, &b); err != nil {
				return err
			}
			return printBatches(c, b, b)
		},
	}
	c.Flags().StringVar(&window, "window", "24h", "time in which the job is due")
	c.Flags().StringVar(&endpoint, "endpoint", "/v1/chat/completions", "endpoint of every item")
	c.Flags().StringVar(&idempotencyKey, "idempotency-key", "", "submitting again with the same key gives the same job")
	return c
}

// upload streams a file to the host, without reading the whole file into memory.
func (c *callerClient) upload(ctx context.Context, path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", errors.Wrap(err, "read items")
	}
	defer func() { _ = file.Close() }()
	ctx, cancel := context.WithTimeout(ctx, uploadTimeout)
	defer cancel()
	pipeReader, pipeWriter := io.Pipe()
	defer func() { _ = pipeReader.Close() }()
	form := multipart.NewWriter(pipeWriter)
	go func() { _ = pipeWriter.CloseWithError(writeForm(form, filepath.Base(path), file)) }()
	resp, err := c.do(ctx, http.MethodPost, "/v1/files", form.FormDataContentType(), pipeReader, nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	var uploaded struct {
		ID string `json:"id"`
	}
	err = decodeJSON(resp.Body, &uploaded)
	return uploaded.ID, err
}

func writeForm(form *multipart.Writer, name string, file io.Reader) error {
	if err := form.WriteField("purpose", "batch"); err != nil {
		return err
	}
	part, err := form.CreateFormFile("file", name)
	if err != nil {
		return err
	}
	if _, err := io.Copy(part, file); err != nil {
		return err
	}
	return form.Close()
}

func newJobListCommand() *cobra.Command {
	var after string
	var limit int
	c := &cobra.Command{
		Use:   "list",
		Short: "List the team's jobs, newest first",
		Args:  exactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			api, err := newCallerClient(c)
			if err != nil {
				return err
			}
			var list struct {
				Data    []batchObject `json:"data"`
				HasMore bool          `json:"has_more"`
			}
			query := url.Values{"limit": {strconv.Itoa(limit)}}
			if after != "" {
				query.Set("after", after)
			}
			if err := api.callJSON(c.Context(), http.MethodGet, "/v1/batches?"+query.Encode(), nil, nil, &list); err != nil {
				return err
			}
			return printBatches(c, list, list.Data...)
		},
	}
	c.Flags().IntVar(&limit, "limit", 20, "jobs to list, 100 at most")
	c.Flags().StringVar(&after, "after", "", "id of the last job of the page before")
	return c
}

// newJobRequestCommand returns a command that sends one request about one job.
func newJobRequestCommand(action, short, method, suffix string) *cobra.Command {
	return &cobra.Command{
		Use:   action + " ID",
		Short: short,
		Args:  exactArgs("ID"),
		RunE: func(c *cobra.Command, args []string) error {
			api, err := newCallerClient(c)
			if err != nil {
				return err
			}
			var b batchObject
			path := "/v1/batches/" + url.PathEscape(args[0]) + suffix
			if err := api.callJSON(c.Context(), method, path, nil, nil, &b); err != nil {
				return err
			}
			return printBatches(c, b, b)
		},
	}
}

func newJobShowCommand() *cobra.Command {
	return newJobRequestCommand("show", "Show a job and its progress", http.MethodGet, "")
}

func newJobCancelCommand() *cobra.Command {
	return newJobRequestCommand("cancel", "Cancel a job; once it is cancelled no further item is started", http.MethodPost, "/cancel")
}

func newJobWaitCommand() *cobra.Command {
	var timeout time.Duration
	c := &cobra.Command{
		Use:   "wait ID",
		Short: "Wait until a job has ended",
		Args:  exactArgs("ID"),
		RunE: func(c *cobra.Command, args []string) error {
			api, err := newCallerClient(c)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(c.Context(), timeout)
			defer cancel()
			b, err := api.waitUntilTerminal(ctx, args[0])
			if err != nil {
				return err
			}
			return printBatches(c, b, b)
		},
	}
	c.Flags().DurationVar(&timeout, "timeout", time.Hour, "time to wait at most")
	return c
}

// waitUntilTerminal polls a job until its state is terminal. It retries while the
// host is unreachable or unavailable.
func (c *callerClient) waitUntilTerminal(ctx context.Context, id string) (batchObject, error) {
	for {
		var b batchObject
		err := c.callJSON(ctx, http.MethodGet, "/v1/batches/"+url.PathEscape(id), nil, nil, &b)
		retryable := errors.Is(err, errUnreachable) || apierr.IsKind(err, apierr.Unavailable)
		if err != nil && !retryable {
			return b, err
		}
		if err == nil && b.terminal() {
			return b, nil
		}
		select {
		case <-ctx.Done():
			return b, errors.Errorf("timed out waiting for job %s; the job continues, so wait again", id)
		case <-time.After(jobPollInterval):
		}
	}
}

func newJobResultsCommand() *cobra.Command {
	var failed bool
	c := &cobra.Command{
		Use:   "results ID",
		Short: "Print the results that are committed, in input order, one JSON object a line",
		Args:  exactArgs("ID"),
		RunE: func(c *cobra.Command, args []string) error {
			api, err := newCallerClient(c)
			if err != nil {
				return err
			}
			name := "output-" + args[0]
			if failed {
				name = "errors-" + args[0]
			}
			resp, err := api.do(c.Context(), http.MethodGet, fmt.Sprintf("/v1/files/%s/content", url.PathEscape(name)), "", nil, nil)
			if err != nil {
				return err
			}
			defer func() { _ = resp.Body.Close() }()
			_, err = io.Copy(c.OutOrStdout(), resp.Body)
			return err
		},
	}
	c.Flags().BoolVar(&failed, "errors", false, "print the items that failed instead")
	return c
}
