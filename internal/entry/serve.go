package entry

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/fleet"
	"github.com/masticscale/masticscale/internal/quarantine"
	"github.com/masticscale/masticscale/internal/readlimit"
	"github.com/masticscale/masticscale/internal/telemetry"
)

const (
	maxSends            = 5                     // attempts per request, including those that upstreams rejected without running
	responseBufferBytes = 1 << 20               // read before the first write, so that a truncated response can be retried
	defaultTimeout      = 5 * time.Minute       // of requests for which neither the caller nor the route sets one
	replyMargin         = 20 * time.Millisecond // part of the remaining time kept for sending the response to the caller

	// MaxBufferedBytes limits the buffered responses of all requests of a host. A response
	// beyond it is relayed as it arrives and can no longer be retried.
	MaxBufferedBytes = 24 << 20
)

// ErrResponseTruncated means that the response has started and can't be completed.
// The connection to the caller must be aborted, so that the caller doesn't take the
// partial response for a complete one.
var ErrResponseTruncated = errors.New("response truncated after its header was sent")

// Request is a request as received from a caller.
type Request struct {
	ID          string
	Method      string
	Target      string // path and query
	Path        string
	Host        string
	Key         string
	Header      http.Header // without hop-by-hop headers and the key
	Body        []byte
	Received    time.Time     // when its header had arrived; zero means now
	TimeLeft    time.Duration // caller's timeout; 0 if not given
	ResumeAfter string        // ID of the last event that the caller received
	PromptParts []string      // IDs of the parts of the prompt that other requests share, in order
}

// Handler proxies online requests to upstreams.
type Handler struct {
	core      *Core
	upstreams UpstreamClient
	log       logrus.FieldLogger
	metrics   *telemetry.Metrics
	buffers   *readlimit.Budget // of responses that are buffered
}

// NewHandler returns a Handler.
func NewHandler(core *Core, upstreams UpstreamClient, metrics *telemetry.Metrics, log logrus.FieldLogger) *Handler {
	return &Handler{core: core, upstreams: upstreams, log: log, metrics: metrics, buffers: readlimit.NewBudget(MaxBufferedBytes)}
}

// Authorize returns the route of a request and the team of its key. On a public
// route the team's name is empty.
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

// TimeLimit returns the time that a request on the route may take. The caller's timeout is
// zero if not given.
func TimeLimit(route *fleet.Route, callerTimeout time.Duration) time.Duration {
	limit := route.Timeout
	if callerTimeout > 0 && (callerTimeout < limit || limit == 0) {
		limit = callerTimeout
	}
	if limit == 0 {
		return defaultTimeout
	}
	return limit
}

// CountRefusal counts a request that ended in the error before Serve, unless it may have
// run.
func (h *Handler) CountRefusal(err error) {
	if e := apierr.From(err); e.Execution == apierr.NotRun {
		h.metrics.Refusals.WithLabelValues(string(e.Kind)).Inc()
	}
}

// request is the state of a request in flight.
type request struct {
	Request
	route    *fleet.Route
	team     fleet.Team
	service  string
	priority int
	started  time.Time
	deadline time.Time
	isRetry  bool // the caller has spent part of its timeout elsewhere

	configVersion int64 // in force when the request was authorized

	excluded       map[string]bool // IDs of upstreams that have failed the request
	barred         map[string]bool // those of them that must not get it again, see SlotRequest
	sends          int             // attempts
	runs           int             // attempts that may have been run
	waited         time.Duration   // total time in the slot queue
	upstream       string          // ID of the last upstream
	status         int             // of the response to the last attempt; zero if there was none
	eventStream    bool            // whether that response was an event stream
	attemptAt      time.Time       // start of the last attempt
	answering      AnswerWatch     // of the last attempt
	hasSuspectPart bool            // crashes count against a part of the prompt
	isPartTrial    bool            // it runs though a part of its prompt is quarantined
	suspicion      quarantine.Level
	answer         answer
	watch          *silenceWatch // of the last attempt
	next           *Slot         // held for the next attempt, because the last one moves
	silentRun      *silentRun    // that the request left; nil if there is none to be judged
	isSlow         bool          // silent at several upstreams that served others

	content *quarantine.Fingerprint // nil until it is needed
}

// Serve proxies the request and writes the response to w. It returns an apierr
// error if nothing was written, and an ErrResponseTruncated only if the response is
// partial.
func (h *Handler) Serve(ctx context.Context, in Request, w http.ResponseWriter) error {
	ctx, span := telemetry.Tracer().Start(ctx, "gateway")
	defer span.End()
	r, err := h.prepare(in)
	if err == nil {
		ctx, cancel := context.WithDeadline(ctx, r.deadline)
		defer cancel()
		err = h.run(ctx, r, w)
		if err != nil && ctx.Err() != nil {
			err = r.timeoutError(ctx, err)
		}
		if err == nil && !r.answer.complete {
			err = apierr.New(apierr.Internal, "the answer ended before it was complete", "send the request again only if it may run twice").MayHaveRun()
		}
		if err != nil && r.answer.begun { // an error body must not follow a partial response
			err = fmt.Errorf("%w: %w", ErrResponseTruncated, err)
		}
	}
	h.recordRequest(ctx, in, r, err)
	return err
}

// timeoutError returns the error of a request whose deadline passed or whose caller
// disconnected.
func (r *request) timeoutError(ctx context.Context, err error) error {
	if r.runs == 0 && apierr.From(err).Execution == apierr.NotRun {
		return err
	}
	kind := apierr.Timeout
	if errors.Is(ctx.Err(), context.Canceled) {
		kind = apierr.Cancelled
	}
	return apierr.New(kind, "the request was not answered in time", "send it again only if it may run twice").MayHaveRun().WithCause(err)
}

// prepare authorizes the request, picks its service and charges its team's rate.
func (h *Handler) prepare(in Request) (*request, error) {
	route, team, err := h.core.Authorize(in.Host, in.Path, in.Key)
	if err != nil {
		return nil, err
	}
	r := &request{Request: in, route: route, team: team, started: in.Received, excluded: map[string]bool{}, barred: map[string]bool{}, answer: newAnswer(route, in.ResumeAfter)}
	if r.started.IsZero() {
		r.started = time.Now()
	}
	r.deadline = r.started.Add(TimeLimit(route, in.TimeLeft))
	r.isRetry = in.TimeLeft > 0 && in.TimeLeft < h.core.firstAttemptThreshold(route.Name, in.TimeLeft)
	config := h.core.Config()
	r.configVersion = config.Version
	r.priority = config.PriorityOf(route, team.Name)
	r.service = route.PickTarget(h.core.Random())
	if r.service == "" {
		return r, apierr.Newf(apierr.Unavailable, "ask the operator to add one", "route %q has no service", route.Name)
	}
	if err := h.checkQuarantine(r); err != nil {
		return r, err
	}
	return r, h.core.Admit(team)
}

// run attempts the request at upstreams until one responds or the attempts are
// used up.
func (h *Handler) run(ctx context.Context, r *request, w http.ResponseWriter) error {
	var lastErr error
	defer r.releaseNextSlot()
	for r.sends < maxSends {
		slot, err := h.acquireSlot(ctx, r)
		if err != nil {
			h.refundRate(r)
			if lastErr != nil && r.runs > 0 && !apierr.IsKind(err, apierr.Quarantined) {
				return lastErr
			}
			return err
		}
		r.sends++
		r.upstream = slot.Upstream.ID
		retry, err := h.attemptAndRelease(ctx, r, slot, w)
		if !retry || !r.answer.events.CanResume() {
			return err
		}
		if r.runs == 0 || apierr.From(err).Execution != apierr.NotRun {
			lastErr = err // an attempt that has not run doesn't undo one that may have
		}
		r.excluded[slot.Upstream.ID] = true
		if r.runs >= max(r.route.MaxAttempts, 1) || ctx.Err() != nil {
			break
		}
	}
	if r.runs == 0 {
		h.refundRate(r)
	}
	return lastErr
}

func (h *Handler) refundRate(r *request) {
	if r.runs == 0 {
		h.core.Refund(r.team)
	}
}

// recordRequest logs the end of the request and updates the request metrics.
func (h *Handler) recordRequest(ctx context.Context, in Request, r *request, err error) {
	outcome := outcomeOf(r, err)
	fields := logrus.Fields{"event": "request_ended", "id": in.ID, "outcome": outcome}
	class := "none"
	if r != nil {
		class = r.route.Kind.String()
		took := time.Since(r.started)
		fields["route"], fields["team"], fields["service"] = r.route.Name, r.team.Name, r.service
		fields["config_version"] = r.configVersion
		fields["upstream"], fields["sends"], fields["runs"] = r.upstream, r.sends, r.runs
		fields["waited_ms"], fields["first_ms"], fields["took_ms"] = r.waited.Milliseconds(), r.answer.firstByte.Milliseconds(), took.Milliseconds()
		fields["left_ms"], fields["last_event"] = in.TimeLeft.Milliseconds(), r.answer.events.LastID()
		fields["upstream_status"], fields["event_stream"] = r.status, r.eventStream
		if err != nil && r.runs > 0 {
			fields["fingerprint"], fields["prompt_parts"] = r.fingerprint(), strings.Join(r.PromptParts, ",")
		}
		h.metrics.Duration.WithLabelValues(class).Observe(took.Seconds())
		if r.answer.firstByte > 0 {
			h.metrics.FirstByte.WithLabelValues(class).Observe(r.answer.firstByte.Seconds())
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
