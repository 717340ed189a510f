package batch

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/dispatch"
	"github.com/masticscale/masticscale/internal/job"
	"github.com/masticscale/masticscale/internal/objstore"
)

func inputReader(ids ...string) io.Reader { return strings.NewReader(inputText(ids...)) }

func lineOf(id, url, body string) string {
	return fmt.Sprintf(`{"custom_id":%q,"method":"POST","url":%q,"body":%s}`, id, url, body)
}

func TestUpload(t *testing.T) {
	const chat = "/v1/chat/completions"
	good := lineOf("a", chat, "{}")
	bad := make([]string, 10_000)
	for i := range bad {
		bad[i] = lineOf(fmt.Sprint(i), chat, "{}")
	}
	bad[7_776] = `{"custom_id":`
	for _, test := range []struct {
		name, text, want string
		lines            int
	}{
		{"one line without an end", good, "", 1},
		{"blank lines and CRLF", "\r\n" + good + "\r\n\n  \n" + lineOf("b", chat, "{}") + "\r\n", "", 2},
		{"empty", "", "the file has no lines.*", 0},
		{"blank", "\n\r\n \n", "the file has no lines.*", 0},
		{"one bad line of many", strings.Join(bad, "\n"), "line 7777 is not a JSON object.*", 0},
		{"doubled id", good + "\n\n" + good, `lines 1 and 3 have the same custom_id "a".*`, 0},
		{"no id", lineOf("", chat, "{}"), "line 1 has no usable custom_id.*", 0},
		{"long id", lineOf(strings.Repeat("x", 513), chat, "{}"), "line 1 has no usable custom_id.*", 0},
		{"other url", good + "\n" + lineOf("b", "/v1/embeddings", "{}"), "line 2 has method.*", 0},
		{"no body", good + "\n" + lineOf("b", chat, `"text"`), "line 2 has no body.*", 0},
		{"long line", good + "\n" + lineOf("b", chat, `{"x":"`+strings.Repeat("y", job.MaxPartBytes)+`"}`), "line 2 exceeds .*", 0},
		{"too many lines", strings.Join(bad[:101], "\n"), "the file has more than 100 lines.*", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			store := newMemoryStore()
			s := NewService(NewRepository(store))
			maxLines := 20_000
			if test.name == "too many lines" {
				maxLines = 100
			}
			f, err := s.Upload(context.Background(), Upload{Team: "t", MaxLines: maxLines}, strings.NewReader(test.text))
			if test.want == "" {
				c.Assert(err, qt.IsNil)
				c.Assert(f.TotalLines(), qt.Equals, test.lines)
				return
			}
			c.Assert(err, qt.ErrorMatches, test.want)
			c.Assert(apierr.From(err).Status()/100, qt.Equals, 4)
			c.Assert(store.objects, qt.HasLen, 0)
		})
	}
}

func TestSubmitAgain(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	store := newMemoryStore()
	s := NewService(NewRepository(store))
	first, err := submit(s, []string{"a", "b"})
	c.Assert(err, qt.IsNil)
	// The same content in a new file, submitted through another host.
	again, err := submit(NewService(NewRepository(store)), []string{"a", "b"})
	c.Assert(err, qt.IsNil)
	c.Assert(again.ID, qt.Equals, first.ID)
	_, err = submit(s, []string{"a", "c"})
	c.Assert(apierr.IsKind(err, apierr.Conflict), qt.IsTrue, qt.Commentf("%v", err))
	f, err := s.Upload(ctx, Upload{Team: "other"}, inputReader("a", "b"))
	c.Assert(err, qt.IsNil)
	other, err := s.Submit(ctx, Submission{Team: "other", File: f.ID, Endpoint: endpoints[0], IdempotencyKey: "k"})
	c.Assert(err, qt.IsNil)
	c.Assert(other.ID, qt.Not(qt.Equals), first.ID)
}

func TestAmbiguousWrites(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	store := newMemoryStore()
	s := NewService(NewRepository(store))
	f, err := s.Upload(ctx, Upload{Team: "t"}, inputReader("a"))
	c.Assert(err, qt.IsNil)
	store.ambiguousWrites = 1
	j, err := s.Submit(ctx, Submission{Team: "t", File: f.ID, Endpoint: endpoints[0]})
	c.Assert(err, qt.IsNil)
	store.ambiguousWrites = 1
	j, err = s.Cancel(ctx, "t", j.ID)
	c.Assert(err, qt.IsNil)
	c.Assert(j.State, qt.Equals, job.Cancelled)
	j, err = s.Cancel(ctx, "t", j.ID)
	c.Assert(err, qt.IsNil)
	c.Assert(j.Counts, qt.Equals, job.Counts{Total: 1, Cancelled: 1})
}

func TestOtherTeamsSeeNothing(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	s := NewService(NewRepository(newMemoryStore()))
	j, err := submit(s, []string{"a"})
	c.Assert(err, qt.IsNil)
	for name, call := range map[string]func() error{
		"file":   func() error { _, err := s.File(ctx, "o", j.File); return err },
		"delete": func() error { return s.DeleteFile(ctx, "o", j.File) },
		"input":  func() error { _, err := s.Open(ctx, "o", j.File); return err },
		"output": func() error { _, err := s.Open(ctx, "o", OutputFile(j.ID)); return err },
		"errors": func() error { _, err := s.Open(ctx, "o", ErrorFile(j.ID)); return err },
		"job":    func() error { _, err := s.Job(ctx, "o", j.ID); return err },
		"cancel": func() error { _, err := s.Cancel(ctx, "o", j.ID); return err },
		"submit": func() error {
			_, err := s.Submit(ctx, Submission{Team: "o", File: j.File, Endpoint: endpoints[0]})
			return err
		},
		"after":   func() error { _, _, err := s.JobPage(ctx, "o", j.ID, 10); return err },
		"unknown": func() error { _, err := s.Job(ctx, "t", "batch_guess"); return err },
	} {
		c.Assert(apierr.IsKind(call(), apierr.NotFound), qt.IsTrue, qt.Commentf(name))
	}
	files, _, err := s.Files(ctx, "o", "", 10)
	c.Assert(err, qt.IsNil)
	c.Assert(files, qt.HasLen, 0)
}

func TestPages(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	s := NewService(NewRepository(newMemoryStore()))
	var ids []string
	for range 5 {
		f, err := s.Upload(ctx, Upload{Team: "t"}, inputReader("a"))
		c.Assert(err, qt.IsNil)
		j, err := s.Submit(ctx, Submission{Team: "t", File: f.ID, Endpoint: endpoints[0]})
		c.Assert(err, qt.IsNil)
		ids = append([]string{j.ID}, ids...)
	}
	var got []string
	for after, more := "", true; more; {
		var jobs []job.Job
		var err error
		jobs, more, err = s.JobPage(ctx, "t", after, 2)
		c.Assert(err, qt.IsNil)
		for _, j := range jobs {
			got = append(got, j.ID)
			after = j.ID
		}
	}
	c.Assert(got, qt.DeepEquals, ids)
}

func TestSweepRemovesBrokenAndDeletedFiles(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	store := newMemoryStore()
	repo := NewRepository(store)
	s := NewService(repo)
	kept, err := submit(s, []string{"a"})
	c.Assert(err, qt.IsNil)
	c.Assert(s.DeleteFile(ctx, "t", kept.File), qt.IsNil) // still used by a job
	gone, err := s.Upload(ctx, Upload{Team: "t"}, inputReader("a"))
	c.Assert(err, qt.IsNil)
	c.Assert(s.DeleteFile(ctx, "t", gone.ID), qt.IsNil)
	_, err = repo.CreateFile(ctx, job.File{ID: "file-broken", State: job.Uploading, Created: time.Now()})
	c.Assert(err, qt.IsNil)
	c.Assert(repo.CreatePart(ctx, "file-broken", 0, job.FilePart{}), qt.IsNil)
	removed, err := sweepFilesOnce(ctx, repo, time.Now())
	c.Assert(err, qt.IsNil)
	c.Assert(removed, qt.Equals, 0)
	removed, err = sweepFilesOnce(ctx, repo, time.Now().Add(2*uploadTimeout))
	c.Assert(err, qt.IsNil)
	c.Assert(removed, qt.Equals, 2)
	_, err = repo.Part(ctx, "file-broken", 0)
	c.Assert(errors.Is(err, job.ErrNotFound), qt.IsTrue)
	_, err = repo.Part(ctx, kept.File, 0)
	c.Assert(err, qt.IsNil)
}

func TestItemAttemptLimits(t *testing.T) {
	ran := apierr.New(apierr.UpstreamError, "broke off", "").MayHaveRun()
	for _, test := range []struct {
		name     string
		err      error
		attempts int // runs until the item gets an error result; zero for never
		code     string
	}{
		{"preempted", ran.WithCause(dispatch.ErrPreempted), 0, ""},
		{"no upstream", apierr.New(apierr.Unavailable, "no upstream", ""), 0, ""},
		{"queue full", apierr.New(apierr.Overloaded, "full", ""), 0, ""},
		{"upstream busy", errors.Wrap(ErrBusy, "429"), 0, ""},
		{"response truncated", ran, 0, ""},
		{"untyped", io.ErrUnexpectedEOF, 0, ""},
		{"quarantined", apierr.New(apierr.Quarantined, "kills upstreams", "change it"), 0, ""},
		{"answer 500", &answerError{code: job.CodeFailed, message: "500"}, maxErrorAnswers, job.CodeFailed},
		{"answer too large", &dispatch.AttemptError{Cause: &answerError{code: job.CodeTooLarge, message: "too large"}}, maxErrorAnswers, job.CodeTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var attempts attempts
			for n := 1; n <= 1000; n++ {
				ended, wait := attempts.recordFailure(job.Item{CustomID: "a"}, test.err)
				c.Assert(wait <= retryMaxDelay, qt.IsTrue)
				c.Assert(wait >= preemptionBackoff || ended != nil, qt.IsTrue)
				if ended != nil {
					c.Assert(n, qt.Equals, test.attempts)
					c.Assert(ended.Error.Code, qt.Equals, test.code)
					return
				}
			}
			c.Assert(test.attempts, qt.Equals, 0)
		})
	}
}

func TestResultFromResponse(t *testing.T) {
	c := qt.New(t)
	item := job.Item{CustomID: "a"}
	for status, want := range map[int]string{
		200: "result", 400: "failed", 413: "failed", 422: "failed", 408: "busy", 425: "busy", 429: "busy", 503: "busy",
		101: "error answer", 301: "error answer", 304: "error answer", 307: "error answer",
		401: "error answer", 403: "error answer", 404: "error answer", 405: "error answer", 421: "error answer",
		500: "error answer", 501: "error answer", 502: "again", 504: "again",
	} {
		line, err := resultFromResponse(item, status, []byte(`{"x":1}`))
		got := "result"
		var answer *answerError
		switch {
		case errors.Is(err, ErrBusy):
			got = "busy"
		case errors.As(err, &answer):
			got = "error answer"
			c.Assert(answer.code, qt.Equals, job.CodeFailed)
		case err != nil:
			got = "again"
		case line.Failed():
			got = "failed"
		}
		c.Assert(got, qt.Equals, want, qt.Commentf("status %d", status))
	}
	line, err := resultFromResponse(item, http.StatusBadRequest, []byte("no JSON"))
	c.Assert(err, qt.IsNil)
	c.Assert(string(line.Response.Body), qt.Equals, `"no JSON"`)
	_, err = resultFromResponse(item, http.StatusOK, []byte("no JSON"))
	var answer *answerError
	c.Assert(err, qt.IsNotNil)
	c.Assert(errors.As(err, &answer), qt.IsFalse, qt.Commentf("bytes that are no answer count as one"))
	_, err = resultFromResponse(item, http.StatusOK, make([]byte, maxResponseBytes+1))
	c.Assert(errors.As(err, &answer), qt.IsTrue)
	c.Assert(answer.code, qt.Equals, job.CodeTooLarge)
}

// TestLargeResults covers results that exceed the size limit of one store
// object.
func TestLargeResults(t *testing.T) {
	c := qt.New(t)
	lines := make([]job.ResultLine, 12)
	for i := range lines {
		noise := make([]byte, 200<<10)
		_, _ = rand.Read(noise)
		body, _ := json.Marshal(hex.EncodeToString(noise))
		lines[i] = job.ResultLine{ID: "i", CustomID: fmt.Sprint(i), Response: &job.Response{StatusCode: 200, Body: body}}
	}
	segments, err := job.NewSegments(lines)
	c.Assert(err, qt.IsNil)
	var got []string
	for _, s := range segments {
		text, _ := json.Marshal(s)
		c.Assert(len(text) < objstore.MaxValueBytes-1000, qt.IsTrue)
		part, err := s.Lines()
		c.Assert(err, qt.IsNil)
		for _, line := range part {
			got = append(got, line.CustomID)
		}
	}
	c.Assert(got, qt.DeepEquals, []string{"0", "1", "2", "3", "4", "5", "6", "7", "8", "9", "10", "11"})
}
