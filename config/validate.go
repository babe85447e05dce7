package config

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"

	"github.com/oklog/ulid/v2"
)

const (
	// MaxAmount bounds prepaid amounts, top-ups and prices, in budget tokens, so
	// that sums of thousands of them do not overflow int64.
	MaxAmount = int64(1e15)
	// MaxOperations bounds the operations of a patch. One transaction of the
	// table service holds 100 rows; an operation needs at most two of them and
	// the patch itself four.
	MaxOperations = 48
	// MaxEndedMoves bounds the ended moves that a document keeps.
	MaxEndedMoves = 64
	// MaxEvidenceBytes bounds the evidence text of a move.
	MaxEvidenceBytes = 4 << 10
	// FullSharePPM is the share of a version that gets all traffic, in parts per
	// million.
	FullSharePPM = int64(1_000_000)

	maxLabelBytes = 128
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9._-]{1,64}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	methods     = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}
)

// invalidf returns an *InvalidError that names no operation.
func invalidf(path string, reason Reason, format string, args ...any) error {
	return &InvalidError{Operation: -1, Path: path, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

func checkName(path, name string) error {
	if !namePattern.MatchString(name) {
		return invalidf(path, ReasonBadName, "%q is not a name: 1 to 64 characters of a-z, 0-9, '-', '.', '_'", name)
	}
	return nil
}

// checkLabel checks a name that the platform assigns: any printable text.
func checkLabel(path, label string) error {
	if len(label) > maxLabelBytes || strings.ContainsFunc(label, func(r rune) bool { return r < ' ' || r == 0x7f }) {
		return invalidf(path, ReasonBadValue, "%q is not a printable text of at most %d bytes", label, maxLabelBytes)
	}
	return nil
}

func checkRange(path string, value, low, high int64) error {
	if value < low || value > high {
		reason := ReasonBadValue
		if value < 0 {
			reason = ReasonNegativeAmount
		}
		return invalidf(path, reason, "%d is not in %d to %d", value, low, high)
	}
	return nil
}

func checkHash(hash string) error {
	if !hashPattern.MatchString(hash) {
		return invalidf("hash", ReasonBadValue, "expected the SHA-256 of the key as 64 hexadecimal digits")
	}
	return nil
}

// firstError returns the first error that is not nil. All arguments are
// evaluated, also after an error.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Validate checks the fields of a workspace.
func (w Workspace) Validate() error {
	return firstError(
		checkName("name", w.Name),
		checkRangeInt("priority", w.Priority, -1000, 1000),
	)
}

func checkRangeInt(path string, value, low, high int) error {
	if value < low || value > high {
		return invalidf(path, ReasonBadValue, "%d is not in %d to %d", value, low, high)
	}
	return nil
}

// Defaults sets the fields that the operator left out.
func (m *Model) Defaults() {
	m.PromptPrice = valueOrDefault(m.PromptPrice, 1)
	m.CompletionPrice = valueOrDefault(m.CompletionPrice, 1)
	m.MaxTokens = valueOrDefault(m.MaxTokens, 4096)
}

// Validate checks the fields of a model.
func (m Model) Validate() error {
	return firstError(
		checkName("name", m.Name),
		checkName("version", m.Version),
		checkRange("prompt_price", m.PromptPrice, 1, 1e6),
		checkRange("completion_price", m.CompletionPrice, 1, 1e6),
		checkRange("max_tokens", m.MaxTokens, 1, 1<<24),
	)
}

// Defaults sets the fields that the operator left out.
func (s *Service) Defaults() {
	s.Routes = slices.Clone(s.Routes) // do not modify the operation's routes
	for i := range s.Routes {
		s.Routes[i].Defaults()
	}
}

// Validate checks the fields of a service.
func (s Service) Validate() error {
	err := firstError(
		checkName("name", s.Name),
		checkName("version", s.Version),
		checkRangeInt("routes", len(s.Routes), 1, 256),
	)
	if err != nil {
		return err
	}
	for i, route := range s.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		if err := route.Validate(); err != nil {
			return prefixPath(path, err)
		}
		if slices.ContainsFunc(s.Routes[:i], func(r Route) bool { return r.Method == route.Method && r.Path == route.Path }) {
			return invalidf(path, ReasonDuplicateName, "route %s %s occurs twice", route.Method, route.Path)
		}
	}
	return nil
}

// Defaults sets the fields that the operator left out.
func (r *Route) Defaults() {
	if r.Method == "" {
		r.Method = "POST"
	}
	r.Price = valueOrDefault(r.Price, 1)
}

// Validate checks the fields of a route.
func (r Route) Validate() error {
	if !slices.Contains(methods, r.Method) {
		return invalidf("method", ReasonBadValue, "%q is not one of %s", r.Method, strings.Join(methods, ", "))
	}
	if !strings.HasPrefix(r.Path, "/") || len(r.Path) > 512 || strings.ContainsAny(r.Path, "?# ") {
		return invalidf("path", ReasonBadValue, "%q is not an absolute path of at most 512 bytes without query", r.Path)
	}
	return checkRange("price", r.Price, 1, MaxAmount)
}

// Defaults sets the fields that the operator left out.
func (t *Target) Defaults() {
	if t.MaxConcurrent == 0 {
		t.MaxConcurrent = 16
	}
	if t.Model != "" && t.MaxTokens == 0 {
		t.MaxTokens = int64(t.MaxConcurrent) * 4096
	}
}

// Validate checks the fields of a target.
func (t Target) Validate() error {
	err := firstError(
		checkName("name", t.Name),
		checkName("version", t.Version),
		checkLabel("vm", t.VM),
		checkLabel("failure_domain", t.FailureDomain),
		checkRangeInt("max_concurrent", t.MaxConcurrent, 1, 1<<16),
		checkRange("max_tokens", t.MaxTokens, 0, 1<<40),
	)
	if err != nil {
		return err
	}
	if (t.Model == "") == (t.Service == "") {
		return invalidf("model", ReasonBadValue, "exactly one of model and service must be set")
	}
	if !t.AgentAddr.IsValid() || t.AgentAddr.Port() == 0 || t.AgentAddr.Addr().IsUnspecified() {
		return invalidf("agent", ReasonBadValue, "the target has no agent address; expected an IP address with a port")
	}
	return nil
}

// Validate checks the fields of a move.
func (m Move) Validate() error {
	err := firstError(
		checkName("name", m.Name),
		checkName("subject", m.Subject),
		checkName("from", m.From),
		checkName("to", m.To),
		checkRange("share", m.SharePPM, 0, FullSharePPM),
		checkRangeInt("evidence", len(m.Evidence), 0, MaxEvidenceBytes),
	)
	if err != nil {
		return err
	}
	if m.From == m.To {
		return invalidf("to", ReasonBadValue, "the move starts and ends at version %q", m.To)
	}
	switch m.State {
	case MoveRunning, MoveDone, MoveRolledBack, MoveCancelled:
		return nil
	}
	return invalidf("state", ReasonBadValue, "%q is not a state of a move", m.State)
}

// Validate checks the rules that hold for every document. It fails with
// *InvalidError.
func (d *Document) Validate() error {
	if d.Shards < 1 || d.Shards > 1<<16 {
		return invalidf("shards", ReasonBadValue, "%d is not in 1 to 65536", d.Shards)
	}
	return firstError(
		checkEach("workspaces", d.Workspaces, func(w Workspace) string { return w.Name }, Workspace.Validate),
		checkEach("models", d.Models, func(m Model) string { return m.Name }, Model.Validate),
		checkEach("services", d.Services, func(s Service) string { return s.Name }, Service.Validate),
		checkEach("targets", d.Targets, func(t Target) string { return t.Name }, Target.Validate),
		checkEach("moves", d.Moves, func(m Move) string { return m.Name }, Move.Validate),
		d.checkSubjects(),
		d.checkTargets(),
		d.checkMoves(),
	)
}

func checkEach[T any](path string, values map[string]T, name func(T) string, validate func(T) error) error {
	for _, key := range slices.Sorted(maps.Keys(values)) {
		valuePath := path + "." + key
		if name(values[key]) != key {
			return invalidf(valuePath, ReasonBadName, "the name in the value is %q", name(values[key]))
		}
		if err := validate(values[key]); err != nil {
			return prefixPath(valuePath, err)
		}
	}
	return nil
}

// checkSubjects checks that no service has the name of a model: a move refers
// to either by its name alone.
func (d *Document) checkSubjects() error {
	for _, name := range slices.Sorted(maps.Keys(d.Services)) {
		if _, ok := d.Models[name]; ok {
			return invalidf("services."+name, ReasonDuplicateName, "%q is also the name of a model", name)
		}
	}
	return nil
}

func (d *Document) checkTargets() error {
	agents := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(d.Targets)) {
		t := d.Targets[name]
		path := "targets." + name
		if _, ok := d.Models[t.Model]; t.Model != "" && !ok {
			return invalidf(path+".model", ReasonUnknownName, "there is no model %q", t.Model)
		}
		if _, ok := d.Services[t.Service]; t.Service != "" && !ok {
			return invalidf(path+".service", ReasonUnknownName, "there is no service %q", t.Service)
		}
		agent := t.AgentAddr.String()
		if other, ok := agents[agent]; ok {
			return invalidf(path+".agent", ReasonDuplicateName, "target %q has the same agent", other)
		}
		agents[agent] = name
	}
	return nil
}

func (d *Document) checkMoves() error {
	running := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(d.Moves)) {
		m := d.Moves[name]
		if m.State != MoveRunning {
			continue
		}
		path := "moves." + name
		version, ok := d.CurrentVersion(m.Subject)
		if !ok {
			return invalidf(path+".subject", ReasonUnknownName, "there is no model or service %q", m.Subject)
		}
		if other, ok := running[m.Subject]; ok {
			return invalidf(path+".subject", ReasonOverlappingMove, "move %q of %q is running", other, m.Subject)
		}
		running[m.Subject] = name
		if version != m.From {
			return invalidf(path+".from", ReasonMoveRunning, "the current version of %q is %q, the move starts at %q", m.Subject, version, m.From)
		}
		if !m.Deadline.After(m.Started) {
			return invalidf(path+".deadline", ReasonDeadlinePast, "the deadline is not after the start of the move")
		}
		if d.ServingTargets(m.Subject, m.To) == 0 {
			return invalidf(path+".to", ReasonVersionWithoutTarget, "no target that is not draining has version %q of %q", m.To, m.Subject)
		}
		if d.ServingTargets(m.Subject, m.From) == 0 {
			return invalidf(path+".from", ReasonVersionWithoutTarget, "no target that is not draining has version %q of %q", m.From, m.Subject)
		}
	}
	return nil
}

// CurrentVersion returns the version of a model or service that gets all
// traffic except the share of a running move.
func (d *Document) CurrentVersion(subject string) (string, bool) {
	if m, ok := d.Models[subject]; ok {
		return m.Version, true
	}
	s, ok := d.Services[subject]
	return s.Version, ok
}

// ServingTargets returns the number of targets of a version that are not
// draining.
func (d *Document) ServingTargets(subject, version string) int {
	count := 0
	for _, t := range d.Targets {
		if t.Subject() == subject && t.Version == version && !t.Draining {
			count++
		}
	}
	return count
}

// Subject returns the name of the target's model or service.
func (t Target) Subject() string {
	if t.Model != "" {
		return t.Model
	}
	return t.Service
}

// Validate checks the fields of the operation without a document, as do the
// methods of the other operations. They fail with *InvalidError.
func (o PutWorkspace) Validate() error { return prefixPath("workspace", o.Workspace.Validate()) }

// Validate checks the operation's fields.
func (o RemoveWorkspace) Validate() error { return checkName("name", o.Name) }

// Validate checks the operation's fields.
func (o OpenBudget) Validate() error {
	return firstError(checkName("workspace", o.Workspace), checkName("budget", o.Budget), checkRange("prepaid", o.Prepaid, 0, MaxAmount))
}

// Validate checks the operation's fields.
func (o TopUp) Validate() error {
	return firstError(checkName("budget", o.Budget), checkRange("amount", o.Amount, 1, MaxAmount))
}

// Validate checks the operation's fields.
func (o PutKey) Validate() error {
	if err := checkHash(o.Hash); err != nil {
		return err
	}
	switch {
	case o.Operator == "":
		return firstError(checkName("workspace", o.Workspace), checkName("budget", o.Budget))
	case o.Operator != "read" && o.Operator != "write":
		return invalidf("operator", ReasonBadValue, `%q is not "read" or "write"`, o.Operator)
	case o.Workspace != "" || o.Budget != "":
		return invalidf("workspace", ReasonBadValue, "a key is either a caller's or an operator's")
	}
	return nil
}

// Validate checks the operation's fields.
func (o RevokeKey) Validate() error { return checkHash(o.Hash) }

// Defaults sets the fields that the operator left out.
func (o *PutModel) Defaults() { o.Model.Defaults() }

// Validate checks the operation's fields.
func (o PutModel) Validate() error { return prefixPath("model", o.Model.Validate()) }

// Defaults sets the fields that the operator left out.
func (o *PutService) Defaults() { o.Service.Defaults() }

// Validate checks the operation's fields.
func (o PutService) Validate() error { return prefixPath("service", o.Service.Validate()) }

// Defaults sets the fields that the operator left out.
func (o *PutTarget) Defaults() { o.Target.Defaults() }

// Validate checks the operation's fields.
func (o PutTarget) Validate() error { return prefixPath("target", o.Target.Validate()) }

// Validate checks the operation's fields.
func (o RemoveTarget) Validate() error { return checkName("name", o.Name) }

// Validate checks the operation's fields.
func (o DrainTarget) Validate() error { return checkName("name", o.Name) }

// Validate checks the operation's fields.
func (o UndrainTarget) Validate() error { return checkName("name", o.Name) }

// Validate checks the operation's fields.
func (o StartMove) Validate() error {
	err := firstError(checkName("move", o.Move), checkName("subject", o.Subject), checkName("from", o.From), checkName("to", o.To))
	if err == nil && o.From == o.To {
		err = invalidf("to", ReasonBadValue, "the move starts and ends at version %q", o.To)
	}
	return err
}

// Validate checks the operation's fields.
func (o ChangeDeadline) Validate() error { return checkName("move", o.Move) }

// Validate checks the operation's fields.
func (o CancelMove) Validate() error { return checkName("move", o.Move) }

// Validate checks the operation's fields.
func (o SetShare) Validate() error {
	return firstError(checkName("move", o.Move), checkRange("share", o.SharePPM, 0, FullSharePPM), checkEvidence(o.Evidence))
}

// Validate checks the operation's fields.
func (o FinishMove) Validate() error {
	return firstError(checkName("move", o.Move), checkEvidence(o.Evidence))
}

// Validate checks the operation's fields.
func (o RollBackMove) Validate() error {
	return firstError(checkName("move", o.Move), checkEvidence(o.Evidence))
}

func checkEvidence(text string) error {
	return checkRangeInt("evidence", len(text), 0, MaxEvidenceBytes)
}

// Validate checks what can be checked without a document.
func (p Patch) Validate() error {
	if _, err := ulid.ParseStrict(p.ID); err != nil {
		return invalidf("id", ReasonBadValue, "%q is not a ULID", p.ID)
	}
	if n := len(p.Operations); n == 0 || n > MaxOperations {
		return invalidf("operations", ReasonTooLarge, "%d operations are not in 1 to %d", n, MaxOperations)
	}
	return nil
}

// prefixPath prepends path to the path of an *InvalidError.
func prefixPath(path string, err error) error {
	invalid, ok := err.(*InvalidError) //nolint:errorlint // only called with unwrapped errors of this package
	if !ok {
		return err
	}
	prefixed := *invalid
	prefixed.Path = path + "." + invalid.Path
	return &prefixed
}

func valueOrDefault(value, defaultValue int64) int64 {
	if value == 0 {
		return defaultValue
	}
	return value
}
