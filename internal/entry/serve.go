package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/eventstream"
	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/slots"
	"github.com/masticscale/masticscale/internal/telemetry"
)

const (
	maxSends        = 5       // attempts, counting those that were turned away without running
	bufferedBytes   = 1 << 20 // of a plain answer that is read whole before it is passed on
	silencePauses   = 3       // pauses of the route's aim after which a stream counts as broken
	leastSilence    = 900 * time.Millisecond
	reserveForReply = 20 * time.Millisecond // of the caller's time, for the way back
)

// ErrResponseTruncated means that an answer has begun and can't be completed. The
// connection to the caller must be cut, so that the answer doesn't look whole.
var ErrResponseTruncated = errors.New("the answer broke off")

// Request is a caller's request.
type Request struct {
	ID          string
	Method      string
	Target      string // path and query
	Path        string
	Host        string
	Key         string
	Header      http.Header // without those of the connection and the key
	Body        []byte
	Left        time.Duration // that the caller will wait; 0 where it says nothing
	ResumeAfter string        // id of the last event that the caller has
}

// Handler serves online requests.
type Handler struct {
	core      *Core
	upstreams UpstreamClient
	log       logrus.FieldLogger
	metrics   *telemetry.Metrics
}

// NewHandler returns a handler.
func NewHandler(core *Core, upstreams UpstreamClient, metrics *telemetry.Metrics, log logrus.FieldLogger) *Handler {
	return &Handler{core: core, upstreams: upstreams, log: log, metrics: metrics}
}

// Authorize matches a request to its route and team. The team has no name on a
// public route.
func (c *Core) Authorize(host, path, key string) (*fleet.Route, fleet.Team, error) {
	config := c.Config()
	if config == nil {
		return nil, fleet.Team{}, apierr.New(apierr.Unavailable, "this host has no configuration yet", "send the request again soon").WithRetryAfter(time.Second)
	}
	route := config.Match(host, path)
	if route == nil {
		return nil, fleet.Team{}, apierr.Newf(apierr.NotFound, "check the host name and path", "no route of %q matches the path", host)
	}
	if !config.KeyRequired(route) {
		return route, fleet.Team{}, nil
	}
	team, known := config.Keys[key]
	if !known {
		return nil, fleet.Team{}, apierr.New(apierr.Unauthorized, "the key is missing, unknown or withdrawn", "send a valid key")
	}
	return route, config.Teams[team], nil
}

// request is a request on its way.
type request struct {
	Request
	route    *fleet.Route
	team     fleet.Team
	service  string
	priority int
	started  time.Time
	deadline time.Time
	returned bool

	without  map[string]bool
	sends    int
	runs     int
	waited   time.Duration
	upstream string
	began    bool // headers have gone to the caller
	lastID   string
	first    time.Duration // to the first byte
}

// Serve answers the request. A returned error is a typed error while nothing has
// been written, and ErrBrokenOff afterwards.
func (h *Handler) Serve(ctx context.Context, in Request, w http.ResponseWriter) error {
	ctx, span := telemetry.Tracer().Start(ctx, "gateway")
	defer span.End()
	r, err := h.prepare(in)
	if err == nil {
		ctx, cancel := context.WithDeadline(ctx, r.deadline)
		defer cancel()
		err = h.run(ctx, r, w)
		if err != nil && ctx.Err() != nil {
			err = r.ended(ctx, err)
		}
		if err != nil && r.began {
			err = ErrResponseTruncated // no error of this host may follow a part of an answer
		}
	}
	h.record(ctx, in, r, err)
	return err
}

// ended says how a request ended whose time ran out or whose caller left.
func (r *request) ended(ctx context.Context, err error) error {
	if r.began {
		return ErrResponseTruncated
	}
	if r.runs == 0 && apierr.From(err).Execution == apierr.NotRun {
		return err
	}
	kind := apierr.Timeout
	if errors.Is(ctx.Err(), context.Canceled) {
		kind = apierr.Cancelled
	}
	return apierr.New(kind, "the request was not answered in time", "send it again only if it may run twice").MayHaveRun().WithCause(err)
}

// prepare decides whether the request may run at all.
func (h *Handler) prepare(in Request) (*request, error) {
	route, team, err := h.core.Authorize(in.Host, in.Path, in.Key)
	if err != nil {
		return nil, err
	}
	r := &request{Request: in, route: route, team: team, started: time.Now(), without: map[string]bool{}, lastID: in.ResumeAfter}
	left := route.Timeout
	if in.Left > 0 && (in.Left < left || left == 0) {
		left = in.Left
	}
	r.deadline = r.started.Add(left)
	r.returned = in.Left > 0 && in.Left < h.core.longestLeft(route.Name, in.Left)
	config := h.core.Config()
	r.priority = config.PriorityOf(route, team.Name)
	r.service = route.PickTarget(h.core.Random())
	if r.service == "" {
		return r, apierr.Newf(apierr.Unavailable, "ask the operator to add one", "route %q has no service", route.Name)
	}
	return r, h.core.Admit(team)
}

// run sends the request to upstreams until one has answered it.
func (h *Handler) run(ctx context.Context, r *request, w http.ResponseWriter) error {
	var last error
	for r.sends < maxSends {
		place, err := h.place(ctx, r)
		if err != nil {
			h.refund(r)
			if last != nil && r.runs > 0 {
				return last
			}
			return err
		}
		r.sends++
		r.upstream = place.Upstream.ID
		again, err := h.attempt(ctx, r, place, w)
		place.Release()
		if !again {
			return err
		}
		last = err
		r.without[place.Upstream.ID] = true
		if r.runs >= max(r.route.MaxAttempts, 1) || ctx.Err() != nil {
			break
		}
	}
	if r.runs == 0 {
		h.refund(r)
	}
	if r.began {
		return ErrResponseTruncated
	}
	return last
}

func (h *Handler) refund(r *request) {
	if r.runs == 0 && r.team.Rate > 0 {
		h.core.Refund(r.team.Name)
	}
}

func (h *Handler) place(ctx context.Context, r *request) (*Slot, error) {
	ctx, span := telemetry.Tracer().Start(ctx, "admission")
	defer span.End()
	place, err := h.core.Acquire(ctx, SlotRequest{
		Service: r.service, Priority: r.priority, Without: r.without,
		Patience: slots.WaitBudget{Aim: r.route.Aim, Left: time.Until(r.deadline), Returned: r.returned || r.sends > 0},
	})
	if err == nil {
		r.waited += place.Waited
	}
	return place, err
}

// silence returns for how long an upstream may say nothing before a request
// that may run again is tried elsewhere. Others wait for as long as they have.
func (r *request) silence() time.Duration {
	if !r.route.Repeatable() || r.route.MaxAttempts <= 1 {
		return 0
	}
	return max(leastSilence, silencePauses*max(r.route.GapAim, r.route.Aim))
}

// attempt sends the request once. It reports true when it may be tried at
// another upstream.
func (h *Handler) attempt(ctx context.Context, r *request, place *Slot, w http.ResponseWriter) (bool, error) {
	ctx, span := telemetry.Tracer().Start(ctx, "upstream")
	defer span.End()
	answer, err := h.upstreams.Do(ctx, Call{
		Upstream: place.Upstream, ID: r.ID, Method: r.Method, Target: r.Target, Host: r.Host, Team: r.team.Name,
		Header: r.Header, Body: r.Body, Left: time.Until(r.deadline) - reserveForReply,
		ResumeAfter: r.lastID, Silence: r.silence(),
	})
	if err != nil {
		return h.sendFailed(ctx, r, place, err)
	}
	defer func() { _ = answer.Body.Close() }()
	place.ReportLoad(answer.Load)
	if answer.NotRun {
		h.turnedAway(place, answer)
		h.metrics.Attempts.WithLabelValues("turned_away").Inc()
		return true, apierr.New(apierr.Overloaded, "the upstreams turned the request away", "send it again after the stated time").
			WithRetryAfter(h.core.retryAfter(time.Until(r.deadline)))
	}
	r.runs++
	place.ReportSuccess()
	failed := answer.Status >= http.StatusInternalServerError
	if failed {
		place.ReportRunResult(true)
	}
	if failed && r.mayRepeat() {
		return true, h.passOnLater(r, answer)
	}
	if promisesNotRun(answer.Status) {
		return false, apierr.Newf(apierr.UpstreamError, "send the request again only if it may run twice",
			"upstream %s answered with status %d, though it may have run the request", r.upstream, answer.Status).MayHaveRun()
	}
	relay := h.relayWhole
	if answer.Events && answer.Status == http.StatusOK {
		relay = h.relayEvents
	}
	again, err := relay(ctx, r, place, answer, w)
	if err == nil && !failed {
		place.ReportRunResult(false)
	}
	return again, err
}

// promisesNotRun reports whether callers take the status as a promise that the
// request has not run. Only upstreams that say so themselves may give it.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// mayRepeat reports whether another run is allowed after those so far.
func (r *request) mayRepeat() bool {
	return r.route.Repeatable() && r.runs < max(r.route.MaxAttempts, 1)
}

// passOnLater is the error that ends a request whose last run failed at the
// upstream.
func (h *Handler) passOnLater(r *request, answer *Response) error {
	h.metrics.Attempts.WithLabelValues("upstream_error").Inc()
	return apierr.Newf(apierr.UpstreamError, "send it again if it may run twice", "upstream %s answered with status %d", r.upstream, answer.Status).MayHaveRun()
}

func (h *Handler) sendFailed(ctx context.Context, r *request, place *Slot, err error) (bool, error) {
	var send *SendError
	notRun := errors.As(err, &send) && send.NotRun
	if ctx.Err() == nil && !errors.Is(err, ErrDeadlineExceeded) {
		place.ReportUnreachable()
	}
	h.metrics.Attempts.WithLabelValues("failed").Inc()
	h.log.WithFields(logrus.Fields{"event": "attempt_failed", "id": r.ID, "upstream": r.upstream, "not_run": notRun, "error": err}).Info("an attempt failed")
	if notRun {
		return true, apierr.New(apierr.Unavailable, "the upstreams can't be reached", "send the request again after the stated time").
			WithRetryAfter(h.core.retryAfter(time.Until(r.deadline))).WithCause(err)
	}
	r.runs++
	if ctx.Err() == nil {
		place.ReportRunResult(true)
	}
	return r.route.Repeatable(), apierr.New(apierr.Unknown, "the upstream did not answer, and the request may have run", "send it again only if it may run twice").
		MayHaveRun().WithCause(err)
}

func (h *Handler) turnedAway(place *Slot, answer *Response) {
	if answer.Moved {
		place.ReportFailure()
		return
	}
	place.ReportFull()
}

// relayEvents passes a stream on, event by event. A stream that breaks off goes
// on at another upstream where the route allows it.
func (h *Handler) relayEvents(ctx context.Context, r *request, place *Slot, answer *Response, w http.ResponseWriter) (bool, error) {
	events := eventstream.NewReader(answer.Body)
	for {
		batch, err := events.Next()
		if errors.Is(err, io.EOF) {
			r.begin(w, answer)
			return false, nil
		}
		if err != nil {
			return h.streamBroke(ctx, r, place, err)
		}
		r.begin(w, answer)
		for _, e := range batch {
			if !IsNextEventID(r.lastID, e.ID) {
				return h.streamBroke(ctx, r, place, errors.Errorf("event %q came after event %q", e.ID, r.lastID))
			}
			if _, err := w.Write(e.Raw); err != nil {
				return false, ErrResponseTruncated // the caller has left
			}
			if e.ID != "" {
				r.lastID = e.ID
			}
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return false, ErrResponseTruncated
		}
	}
}

// IsNextEventID reports whether an event follows the last one that is known.
func IsNextEventID(lastID, eventID string) bool {
	last, err := strconv.ParseInt(lastID, 10, 64)
	if err != nil {
		return true // the first event, or ids that are no numbers
	}
	id, err := strconv.ParseInt(eventID, 10, 64)
	return err != nil || id == last+1
}

// begin sends the header of the first upstream that answers.
func (r *request) begin(w http.ResponseWriter, answer *Response) {
	if r.began {
		return
	}
	r.began = true
	r.first = time.Since(r.started)
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	w.WriteHeader(answer.Status)
}

func (h *Handler) streamBroke(ctx context.Context, r *request, place *Slot, err error) (bool, error) {
	if ctx.Err() == nil {
		place.ReportFailure()
		place.ReportRunResult(true)
	}
	h.metrics.Attempts.WithLabelValues("broken_off").Inc()
	h.log.WithFields(logrus.Fields{"event": "stream_broke_off", "id": r.ID, "upstream": r.upstream, "after_event": r.lastID, "error": err}).Info("a stream broke off at its upstream")
	if r.mayRepeat() && ctx.Err() == nil {
		return true, ErrResponseTruncated
	}
	if r.began {
		return false, ErrResponseTruncated
	}
	return false, apierr.New(apierr.Unknown, "the upstream broke off its answer", "send the request again only if it may run twice").MayHaveRun().WithCause(err)
}

// relayWhole passes a plain answer on. It is read whole first, up to a bound, so
// that one that breaks off can be asked for again.
func (h *Handler) relayWhole(ctx context.Context, r *request, place *Slot, answer *Response, w http.ResponseWriter) (bool, error) {
	var head bytes.Buffer
	_, err := io.CopyN(&head, answer.Body, bufferedBytes)
	if err != nil && !errors.Is(err, io.EOF) {
		return h.streamBroke(ctx, r, place, err)
	}
	r.begin(w, answer)
	if _, werr := w.Write(head.Bytes()); werr != nil {
		return false, ErrResponseTruncated
	}
	if err == nil {
		if _, err = io.Copy(w, answer.Body); err != nil {
			return false, ErrResponseTruncated
		}
	}
	return false, nil
}

// record writes the request's line and counts its outcome.
func (h *Handler) record(ctx context.Context, in Request, r *request, err error) {
	outcome := outcomeOf(r, err)
	fields := logrus.Fields{"event": "request_ended", "id": in.ID, "outcome": outcome}
	class := "none"
	if r != nil {
		class = r.route.Kind.String()
		took := time.Since(r.started)
		fields["route"], fields["team"], fields["service"] = r.route.Name, r.team.Name, r.service
		fields["upstream"], fields["sends"], fields["runs"] = r.upstream, r.sends, r.runs
		fields["waited_ms"], fields["first_ms"], fields["took_ms"] = r.waited.Milliseconds(), r.first.Milliseconds(), took.Milliseconds()
		fields["left_ms"], fields["last_event"] = in.Left.Milliseconds(), r.lastID
		h.metrics.Duration.WithLabelValues(class).Observe(took.Seconds())
		if r.first > 0 {
			h.metrics.FirstByte.WithLabelValues(class).Observe(r.first.Seconds())
		}
	}
	h.metrics.Requests.WithLabelValues(class, outcome).Inc()
	if err != nil {
		fields["error"] = err
	}
	if id := telemetry.TraceID(ctx); id != "" {
		fields["trace"] = id
	}
	h.log.WithFields(fields).Info("request ended")
}

func outcomeOf(r *request, err error) string {
	if err == nil {
		return "answered"
	}
	if errors.Is(err, ErrResponseTruncated) {
		return "broken_off"
	}
	return string(apierr.From(err).Kind)
}
