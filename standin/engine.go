package standin

import (
	"container/list"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fasthttp/router"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"briarreach/engine"
	"briarreach/targetset"
)

// Engine stands in for a model engine with continuous batching. Routes:
//
//	POST /v1/chat/completions   server-sent events; "stream": true is required
//	POST /orders                {"kind", "version", "fencing_number"}; every kind sets the version
//	GET  /load                  lagging load report (EngineLoad)
//	GET  /cache_events?after=N  cache events with a sequence number above N
//	GET  /runs                  EngineRecord
//	POST /faults                JSON array of TargetFault, replaces all faults
//
// Above its slots or its token capacity, the engine generates each token more
// slowly, by the square of the load factor; above overloadLimit times either, it
// refuses requests with 503.
type Engine struct {
	options engineOptions
	server  *targetServer
	faults  targetFaults

	mu                   sync.Mutex
	version              string
	highestFencingNumber uint64
	orders               []engine.Order
	running              int
	heldTokens           int64
	record               EngineRecord
	cache                engineCache
	reportedLoad         EngineLoad
	reportedAt           time.Time
}

// overloadLimit is the load as a multiple of the capacity above which engines
// and services refuse requests.
const overloadLimit = 2

// maxTargetRuns bounds the record of runs; when it is full, the older half is
// dropped.
const maxTargetRuns = 1 << 17

// EngineRun is one executed request. Outcome is "complete" (all tokens
// generated), "cancelled" (the connection closed) or "failed" (by a fault).
type EngineRun struct {
	RequestID       string `json:"request_id"`
	Model           string `json:"model"`
	Version         string `json:"version"`
	Priority        int    `json:"priority"`
	PromptTokens    int64  `json:"prompt_tokens"`
	CachedTokens    int64  `json:"cached_tokens"`
	GeneratedTokens int64  `json:"generated_tokens"`
	Outcome         string `json:"outcome"`
}

// EngineRecord lists and counts the requests that an engine has run, with its
// highest load so far.
type EngineRecord struct {
	Runs          []EngineRun `json:"runs"` // ended runs, in the order in which they ended
	Started       int         `json:"started"`
	Refused       int         `json:"refused"`
	MaxRunning    int         `json:"max_running"`
	MaxHeldTokens int64       `json:"max_held_tokens"`
}

// EngineLoad is a load report of an engine.
type EngineLoad struct {
	Version    string `json:"version"`
	Running    int    `json:"running"`
	HeldTokens int64  `json:"held_tokens"`
	Slots      int    `json:"slots"`
	MaxTokens  int64  `json:"max_tokens"`
}

// EngineCacheEvent reports that blocks were cached or evicted. Blocks holds
// hashes as returned by targetset.PrefixHashes.
type EngineCacheEvent struct {
	Sequence uint64    `json:"sequence"`
	Kind     string    `json:"kind"` // "cached", "evicted"
	Blocks   []uint64  `json:"blocks"`
	At       time.Time `json:"at"`
}

type engineOptions struct {
	port                             uint16
	slots                            int
	maxTokens                        int64
	decodeRate, prefillRate          float64
	minAnswerTokens, maxAnswerTokens int
	version                          string
	enforceFencing                   bool
	cacheBlocks                      int
	eventDelay, loadLag              time.Duration
	eventDropShare                   float64
	seed                             int64
	clock                            clockwork.Clock
	faults                           []TargetFault
}

// EngineOption configures an Engine.
type EngineOption func(*engineOptions)

// WithEnginePort sets the port. The default 0 picks a free one.
func WithEnginePort(port uint16) EngineOption { return func(o *engineOptions) { o.port = port } }

// WithEngineCapacity sets the slots of the batch and the tokens that the engine
// can hold. The defaults are 16 and 65,536.
func WithEngineCapacity(slots int, maxTokens int64) EngineOption {
	return func(o *engineOptions) { o.slots, o.maxTokens = slots, maxTokens }
}

// WithEngineTokenRates sets the tokens per second of decoding, for each stream,
// and of prefill. The default 0 is as fast as possible.
func WithEngineTokenRates(decode, prefill float64) EngineOption {
	return func(o *engineOptions) { o.decodeRate, o.prefillRate = decode, prefill }
}

// WithEngineAnswerTokens sets the range of the length of answers that no token
// limit cuts short. The default is 8 to 64.
func WithEngineAnswerTokens(minTokens, maxTokens int) EngineOption {
	return func(o *engineOptions) { o.minAnswerTokens, o.maxAnswerTokens = minTokens, maxTokens }
}

// WithEngineVersion sets the version that is loaded at the start.
func WithEngineVersion(version string) EngineOption {
	return func(o *engineOptions) { o.version = version }
}

// WithEngineFencing sets whether the engine refuses orders whose fencing number
// is lower than the highest it has seen. The default is true.
func WithEngineFencing(on bool) EngineOption { return func(o *engineOptions) { o.enforceFencing = on } }

// WithEngineCacheBlocks sets the number of prompt blocks of 1 KiB that the
// prefix cache holds. The default is 256.
func WithEngineCacheBlocks(blocks int) EngineOption {
	return func(o *engineOptions) { o.cacheBlocks = blocks }
}

// WithEngineCacheEvents delays cache events and drops a share of them, from 0
// to 1.
func WithEngineCacheEvents(delay time.Duration, dropShare float64) EngineOption {
	return func(o *engineOptions) { o.eventDelay, o.eventDropShare = delay, dropShare }
}

// WithEngineLoadLag sets how long the engine repeats a load report before it
// makes a new one.
func WithEngineLoadLag(lag time.Duration) EngineOption {
	return func(o *engineOptions) { o.loadLag = lag }
}

// WithEngineSeed sets the seed of the choice of the requests that a fault
// affects.
func WithEngineSeed(seed int64) EngineOption { return func(o *engineOptions) { o.seed = seed } }

// WithEngineClock sets the clock. The default is the real one.
func WithEngineClock(clock clockwork.Clock) EngineOption {
	return func(o *engineOptions) { o.clock = clock }
}

// WithEngineFaults sets the faults at the start.
func WithEngineFaults(faults ...TargetFault) EngineOption {
	return func(o *engineOptions) { o.faults = faults }
}

// NewEngine starts an engine on 127.0.0.1.
func NewEngine(opts ...EngineOption) (*Engine, error) {
	o := engineOptions{
		slots: 16, maxTokens: 1 << 16, minAnswerTokens: 8, maxAnswerTokens: 64, version: "v1",
		enforceFencing: true, cacheBlocks: 256, seed: 1, clock: clockwork.NewRealClock(),
	}
	for _, opt := range opts {
		opt(&o)
	}
	random := rand.New(rand.NewSource(o.seed))
	e := &Engine{options: o, version: o.version}
	e.faults.random = random
	e.faults.replace(o.faults, o.clock.Now())
	e.cache = engineCache{
		blocks: map[uint64]*list.Element{}, recency: list.New(), maxBlocks: o.cacheBlocks,
		eventDropShare: o.eventDropShare, random: rand.New(rand.NewSource(o.seed + 1)),
	}
	r := router.New()
	r.POST("/v1/chat/completions", e.serveCompletion)
	r.POST("/orders", e.serveOrder)
	r.GET("/load", func(ctx *fasthttp.RequestCtx) { writeTargetJSON(ctx, fasthttp.StatusOK, e.Load()) })
	r.GET("/cache_events", e.serveCacheEvents)
	r.GET("/runs", func(ctx *fasthttp.RequestCtx) { writeTargetJSON(ctx, fasthttp.StatusOK, e.Record()) })
	r.POST("/faults", func(ctx *fasthttp.RequestCtx) { e.faults.serveFaults(ctx, o.clock.Now()) })
	var err error
	if e.server, err = newTargetServer("engine", o.port, r.Handler); err != nil {
		return nil, fmt.Errorf("standin.NewEngine: %w", err)
	}
	return e, nil
}

// Addr returns the address that the engine listens on.
func (e *Engine) Addr() netip.AddrPort { return e.server.addr() }

// URL returns the URL of the engine.
func (e *Engine) URL() string { return "http://" + e.Addr().String() }

// Close closes all connections and stops the engine.
func (e *Engine) Close() error {
	if err := e.server.close(); err != nil {
		return fmt.Errorf("standin.Engine.Close: %w", err)
	}
	return nil
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(faults ...TargetFault) {
	e.faults.replace(faults, e.options.clock.Now())
}

// Record returns a copy of the record so far.
func (e *Engine) Record() EngineRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	record := e.record
	record.Runs = slices.Clone(record.Runs)
	return record
}

// Runs returns the requests that have ended.
func (e *Engine) Runs() []EngineRun { return e.Record().Runs }

// Orders returns the orders that the engine has accepted.
func (e *Engine) Orders() []engine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// Running returns the number of requests that are running now.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// Load returns the load report, which is at most as old as the lag.
func (e *Engine) Load() EngineLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := e.options.clock.Now(); e.reportedAt.IsZero() || now.Sub(e.reportedAt) >= e.options.loadLag {
		e.reportedAt = now
		e.reportedLoad = EngineLoad{
			Version: e.version, Running: e.running, HeldTokens: e.heldTokens,
			Slots: e.options.slots, MaxTokens: e.options.maxTokens,
		}
	}
	return e.reportedLoad
}

// CacheEvents returns the cache events with a sequence number above after whose
// delay has passed. The engine keeps at most 4,096 events and drops the older
// half when that many are kept.
func (e *Engine) CacheEvents(after uint64) []EngineCacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	visible := e.options.clock.Now().Add(-e.options.eventDelay)
	events := []EngineCacheEvent{}
	for _, event := range e.cache.events {
		if event.Sequence > after && !event.At.After(visible) {
			events = append(events, event)
		}
	}
	return events
}

// EngineAnswerToken returns token i of the answer to a prompt: a space and
// eight hexadecimal digits of the xxHash64 of the prompt and i. The prompt is the
// text that engine.PromptText returns.
func EngineAnswerToken(prompt []byte, i int) string {
	return engineToken(xxhash.Sum64(prompt), i)
}

// EngineAnswerText returns the first n tokens of the answer to a prompt.
func EngineAnswerText(prompt []byte, n int) string {
	hash := xxhash.Sum64(prompt)
	var text strings.Builder
	for i := range n {
		text.WriteString(engineToken(hash, i))
	}
	return text.String()
}

func engineToken(hash uint64, i int) string {
	return fmt.Sprintf(" %08x", uint32(xxhash.Sum64String(strconv.FormatUint(hash, 16)+strconv.Itoa(i))))
}

// EngineTokenCount returns the number of tokens that the engine counts for a
// prompt: one for every 4 bytes, rounded up.
func EngineTokenCount(prompt []byte) int64 { return int64(len(prompt)+3) / 4 }

// loadFactor returns the load as a multiple of the capacity. The caller holds
// e.mu.
func (e *Engine) loadFactor() float64 {
	load := float64(e.running) / float64(max(1, e.options.slots))
	if e.options.maxTokens > 0 {
		load = max(load, float64(e.heldTokens)/float64(e.options.maxTokens))
	}
	return load
}

func (e *Engine) serveCompletion(ctx *fasthttp.RequestCtx) {
	var body struct {
		Model               string `json:"model"`
		Stream              bool   `json:"stream"`
		MaxTokens           int    `json:"max_tokens"`
		MaxCompletionTokens int    `json:"max_completion_tokens"`
		Priority            int    `json:"priority"`
		StreamOptions       struct {
			IncludeUsage         bool `json:"include_usage"`
			ContinuousUsageStats bool `json:"continuous_usage_stats"`
		} `json:"stream_options"`
	}
	prompt, err := engine.PromptText(ctx.PostBody())
	if err == nil {
		err = json.Unmarshal(ctx.PostBody(), &body)
	}
	if err != nil || !body.Stream {
		writeTargetError(ctx, fasthttp.StatusBadRequest, "invalid_request_error", fmt.Sprintf("stream is required: %v", err))
		return
	}
	now := e.options.clock.Now()
	e.mu.Lock()
	load, version := float64(e.running)/float64(max(1, e.options.slots)), e.version
	e.mu.Unlock()
	effect := e.faults.chooseEffect(version, body.Model, load, now)
	if effect.status != 0 {
		writeTargetError(ctx, effect.status, "server_error", "fault")
		return
	}

	hash := xxhash.Sum64(prompt)
	total := e.options.minAnswerTokens + int(hash%uint64(max(1, e.options.maxAnswerTokens-e.options.minAnswerTokens+1)))
	reason := "stop"
	if limit := max(body.MaxTokens, body.MaxCompletionTokens); limit > 0 && limit <= total {
		total, reason = limit, "length"
	}
	s := &engineStream{
		engine: e, effect: effect, promptHash: hash, answerTokens: total, finishReason: reason, includeUsage: body.StreamOptions.IncludeUsage,
		continuousUsage: body.StreamOptions.ContinuousUsageStats,
		id:              strconv.FormatUint(ctx.ID(), 16), created: now.Unix(),
		run: EngineRun{
			RequestID: string(ctx.Request.Header.Peek("X-Request-Id")), Model: body.Model, Version: version,
			Priority: body.Priority, PromptTokens: EngineTokenCount(prompt),
		},
	}
	if !e.admit(s, prompt) {
		writeTargetError(ctx, fasthttp.StatusServiceUnavailable, "overloaded", "the engine is over its capacity")
		return
	}
	s.disconnected = e.server.watchDisconnect(ctx)
	if effect.hang && effect.afterTokens == 0 {
		<-s.disconnected
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(s, -1)
}

// admit adds the request to the batch, or returns false if the engine would be
// overloaded.
func (e *Engine) admit(s *engineStream, prompt []byte) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running++
	e.heldTokens += s.run.PromptTokens
	if e.loadFactor() > overloadLimit {
		e.running--
		e.heldTokens -= s.run.PromptTokens
		e.record.Refused++
		return false
	}
	s.run.CachedTokens = min(s.run.PromptTokens, e.cache.lookup(targetset.PrefixHashes(prompt), e.options.clock.Now()))
	e.record.Started++
	e.updateMaxLoad()
	return true
}

// updateMaxLoad updates the highest load in the record. The caller holds e.mu.
func (e *Engine) updateMaxLoad() {
	e.record.MaxRunning = max(e.record.MaxRunning, e.running)
	e.record.MaxHeldTokens = max(e.record.MaxHeldTokens, e.heldTokens)
}

func (e *Engine) serveOrder(ctx *fasthttp.RequestCtx) {
	var o engine.Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		writeTargetError(ctx, fasthttp.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.enforceFencing && o.FencingNumber < e.highestFencingNumber {
		writeTargetError(ctx, fasthttp.StatusConflict, "fenced", fmt.Sprintf("the highest fencing number is %d", e.highestFencingNumber))
		return
	}
	e.highestFencingNumber = max(e.highestFencingNumber, o.FencingNumber)
	e.orders = append(e.orders, o)
	if o.Version != "" {
		e.version = o.Version
	}
	writeTargetJSON(ctx, fasthttp.StatusOK, o)
}

func (e *Engine) serveCacheEvents(ctx *fasthttp.RequestCtx) {
	after := ctx.QueryArgs().GetUintOrZero("after")
	writeTargetJSON(ctx, fasthttp.StatusOK, map[string]any{"events": e.CacheEvents(uint64(after))})
}

// engineStream generates the answer while the server reads it, so that a slow
// reader stops the generation.
type engineStream struct {
	engine       *Engine
	effect       targetEffect
	disconnected <-chan struct{}
	run          EngineRun
	id           string
	created      int64
	promptHash   uint64
	answerTokens int
	finishReason string
	includeUsage bool
	// continuousUsage says that each chunk reports the usage so far.
	continuousUsage bool
	prefilled       bool
	ended           bool
	pending         []byte
	once            sync.Once
}

// connectionClosedError ends a stream whose client has closed the connection, or
// which a fault closes.
type connectionClosedError struct{}

func (e *connectionClosedError) Error() string { return "connection closed" }

// Read returns the next chunk of the stream as soon as it is generated.
func (s *engineStream) Read(p []byte) (int, error) {
	if len(s.pending) == 0 {
		if s.ended {
			return 0, io.EOF
		}
		if err := s.generate(); err != nil {
			return 0, err
		}
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// Close ends the run as cancelled if it has not ended.
func (s *engineStream) Close() error {
	s.finish("cancelled")
	return nil
}

func (s *engineStream) finish(outcome string) {
	s.once.Do(func() {
		e := s.engine
		e.mu.Lock()
		defer e.mu.Unlock()
		e.running--
		e.heldTokens -= s.run.PromptTokens + s.run.GeneratedTokens
		s.run.Outcome = outcome
		if len(e.record.Runs) >= maxTargetRuns {
			e.record.Runs = slices.Delete(e.record.Runs, 0, maxTargetRuns/2)
		}
		e.record.Runs = append(e.record.Runs, s.run)
	})
}

// generate writes the next chunk of the stream to pending. It ends the stream if
// a fault does so now; a hang before the first token is in serveCompletion.
func (s *engineStream) generate() error {
	generated := int(s.run.GeneratedTokens)
	if s.effect.afterTokens > 0 && generated >= s.effect.afterTokens || s.effect.close && s.effect.afterTokens == 0 {
		if s.effect.hang {
			<-s.disconnected
		}
		s.finish("failed")
		return &connectionClosedError{}
	}
	if !s.prefilled {
		s.prefilled = true
		if err := s.wait(s.effect.delay + s.duration(s.run.PromptTokens-s.run.CachedTokens, s.engine.options.prefillRate)); err != nil {
			return err
		}
	}
	if generated == s.answerTokens {
		s.ended = true
		s.appendEvent(`"choices":[{"index":0,"delta":{},"finish_reason":%q}]`, s.finishReason)
		if s.includeUsage {
			s.appendEvent(`"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}`,
				s.run.PromptTokens, generated, s.run.PromptTokens+int64(generated), s.run.CachedTokens)
		}
		s.pending = append(s.pending, "data: [DONE]\n\n"...)
		// Frees the slot and completes the record before the client reads the end.
		s.finish("complete")
		return nil
	}
	if err := s.wait(s.duration(1, s.engine.options.decodeRate)); err != nil {
		return err
	}
	s.run.GeneratedTokens++
	e := s.engine
	e.mu.Lock()
	e.heldTokens++
	e.updateMaxLoad()
	e.mu.Unlock()
	role := ""
	if generated == 0 {
		role = `"role":"assistant",`
	}
	usage := ""
	if s.continuousUsage {
		usage = fmt.Sprintf(`,"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`,
			s.run.PromptTokens, generated+1, s.run.PromptTokens+int64(generated)+1)
	}
	s.appendEvent(`"choices":[{"index":0,"delta":{%s"content":%q},"finish_reason":null}]%s`, role, engineToken(s.promptHash, generated), usage)
	return nil
}

func (s *engineStream) appendEvent(format string, args ...any) {
	s.pending = fmt.Appendf(s.pending, `data: {"id":"chatcmpl-%s","object":"chat.completion.chunk","created":%d,"model":%q,`,
		s.id, s.created, s.run.Model)
	s.pending = fmt.Appendf(s.pending, format, args...)
	s.pending = append(s.pending, "}\n\n"...)
}

// duration returns the time to process tokens at a rate, in tokens per second,
// under the current load.
func (s *engineStream) duration(tokens int64, rate float64) time.Duration {
	if rate <= 0 || tokens <= 0 {
		return 0
	}
	e := s.engine
	e.mu.Lock()
	overload := max(1, e.loadFactor())
	e.mu.Unlock()
	return time.Duration(float64(tokens) / rate * s.effect.slowFactor * overload * overload * float64(time.Second))
}

func (s *engineStream) wait(d time.Duration) error {
	if d <= 0 {
		select {
		case <-s.disconnected:
			return &connectionClosedError{}
		default:
			return nil
		}
	}
	timer := s.engine.options.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-s.disconnected:
		return &connectionClosedError{}
	case <-timer.Chan():
		return nil
	}
}

// engineCache is a prefix cache with LRU eviction.
type engineCache struct {
	blocks         map[uint64]*list.Element
	recency        *list.List // front is the most recently used
	maxBlocks      int
	sequence       uint64
	events         []EngineCacheEvent
	eventDropShare float64
	random         *rand.Rand
}

// maxCacheEvents bounds the events that the engine keeps; when it is reached, the
// older half is dropped.
const maxCacheEvents = 4096

// lookup returns the number of leading tokens that are cached, and caches all
// blocks.
func (c *engineCache) lookup(blocks []uint64, now time.Time) int64 {
	cached := 0
	for cached < len(blocks) && c.blocks[blocks[cached]] != nil {
		cached++
	}
	var added, evicted []uint64
	// In reverse order, so that the end of a prompt is evicted before its start.
	for _, b := range slices.Backward(blocks) {
		if element := c.blocks[b]; element != nil {
			c.recency.MoveToFront(element)
			continue
		}
		c.blocks[b] = c.recency.PushFront(b)
		added = append(added, b)
	}
	for c.recency.Len() > c.maxBlocks {
		b := c.recency.Remove(c.recency.Back()).(uint64)
		delete(c.blocks, b)
		evicted = append(evicted, b)
	}
	c.recordEvent("cached", added, now)
	c.recordEvent("evicted", evicted, now)
	return int64(cached) * targetset.BlockBytes / 4
}

func (c *engineCache) recordEvent(kind string, blocks []uint64, now time.Time) {
	if len(blocks) == 0 {
		return
	}
	c.sequence++
	if c.eventDropShare > 0 && c.random.Float64() < c.eventDropShare {
		return
	}
	if len(c.events) >= maxCacheEvents {
		c.events = slices.Delete(c.events, 0, maxCacheEvents/2)
	}
	c.events = append(c.events, EngineCacheEvent{Sequence: c.sequence, Kind: kind, Blocks: blocks, At: now})
}
