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
	// MaxAmount bounds prepaid amounts, top-ups and prices, so that sums of
	// thousands of them stay far below the range of int64.
	MaxAmount = int64(1e15)
	// MaxOperations bounds the operations of a patch. One transaction of the
	// table service holds 100 rows; an operation needs at most two of them and
	// the patch itself four.
	MaxOperations = 48
	// MaxEndedMoves bounds the ended moves that a document keeps.
	MaxEndedMoves = 64
	// MaxEvidenceBytes bounds the evidence text of a move.
	MaxEvidenceBytes = 4 << 10
	// FullSharePPM is the share of a version that gets all traffic.
	FullSharePPM = int64(1_000_000)

	maxLabelBytes = 128
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9._-]{1,64}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	methods     = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}
)

// fault returns an error of the whole document or of one value.
func fault(path string, reason Reason, format string, args ...any) error {
	return &InvalidError{Operation: -1, Path: path, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

func checkName(path, name string) error {
	if !namePattern.MatchString(name) {
		return fault(path, BadName, "%q is not a name: 1 to 64 characters of a-z, 0-9, '-', '.', '_'", name)
	}
	return nil
}

// checkLabel accepts names that the platform gives, which are any printable
// text.
func checkLabel(path, label string) error {
	if len(label) > maxLabelBytes || strings.ContainsFunc(label, func(r rune) bool { return r < ' ' || r == 0x7f }) {
		return fault(path, BadValue, "%q is not a printable text of at most %d bytes", label, maxLabelBytes)
	}
	return nil
}

func checkRange(path string, value, low, high int64) error {
	if value < low || value > high {
		reason := BadValue
		if value < 0 {
			reason = NegativeAmount
		}
		return fault(path, reason, "%d is not in %d to %d", value, low, high)
	}
	return nil
}

func checkHash(hash string) error {
	if !hashPattern.MatchString(hash) {
		return fault("hash", BadValue, "expected the SHA-256 of the key as 64 hexadecimal digits")
	}
	return nil
}

// first returns the first fault, or nil.
func first(faults ...error) error {
	for _, err := range faults {
		if err != nil {
			return err
		}
	}
	return nil
}

// Validate checks the fields of a workspace.
func (w Workspace) Validate() error {
	return first(
		checkName("name", w.Name),
		checkRangeInt("priority", w.Priority, -1000, 1000),
	)
}

func checkRangeInt(path string, value, low, high int) error {
	if value < low || value > high {
		return fault(path, BadValue, "%d is not in %d to %d", value, low, high)
	}
	return nil
}

// SetDefaults fills what the operator leaves out.
func (m *Model) SetDefaults() {
	m.PromptPrice = orElse(m.PromptPrice, 1)
	m.CompletionPrice = orElse(m.CompletionPrice, 1)
	m.MaxTokens = orElse(m.MaxTokens, 4096)
}

// Validate checks the fields of a model.
func (m Model) Validate() error {
	return first(
		checkName("name", m.Name),
		checkName("version", m.Version),
		checkRange("prompt_price", m.PromptPrice, 1, 1e6),
		checkRange("completion_price", m.CompletionPrice, 1, 1e6),
		checkRange("max_tokens", m.MaxTokens, 1, 1<<24),
	)
}

// SetDefaults fills what the operator leaves out.
func (s *Service) SetDefaults() {
	s.Routes = slices.Clone(s.Routes) // the operation's own routes stay as they are
	for i := range s.Routes {
		s.Routes[i].SetDefaults()
	}
}

// Validate checks the fields of a service.
func (s Service) Validate() error {
	err := first(
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
			return under(path, err)
		}
		if slices.ContainsFunc(s.Routes[:i], func(r Route) bool { return r.Method == route.Method && r.Path == route.Path }) {
			return fault(path, DuplicateName, "route %s %s occurs twice", route.Method, route.Path)
		}
	}
	return nil
}

// SetDefaults fills what the operator leaves out.
func (r *Route) SetDefaults() {
	if r.Method == "" {
		r.Method = "POST"
	}
	r.Price = orElse(r.Price, 1)
}

// Validate checks the fields of a route.
func (r Route) Validate() error {
	if !slices.Contains(methods, r.Method) {
		return fault("method", BadValue, "%q is not one of %s", r.Method, strings.Join(methods, ", "))
	}
	if !strings.HasPrefix(r.Path, "/") || len(r.Path) > 512 || strings.ContainsAny(r.Path, "?# ") {
		return fault("path", BadValue, "%q is not an absolute path of at most 512 bytes without query", r.Path)
	}
	return checkRange("price", r.Price, 1, MaxAmount)
}

// SetDefaults fills what the operator leaves out.
func (t *Target) SetDefaults() {
	if t.MaxConcurrent == 0 {
		t.MaxConcurrent = 16
	}
	if t.Model != "" && t.MaxTokens == 0 {
		t.MaxTokens = int64(t.MaxConcurrent) * 4096
	}
}

// Validate checks the fields of a target.
func (t Target) Validate() error {
	err := first(
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
		return fault("model", BadValue, "exactly one of model and service must be set")
	}
	if !t.AgentAddr.IsValid() || t.AgentAddr.Port() == 0 || t.AgentAddr.Addr().IsUnspecified() {
		return fault("agent", BadValue, "the target has no agent address; expected an IP address with a port")
	}
	return nil
}

// Validate checks the fields of a move.
func (m Move) Validate() error {
	err := first(
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
		return fault("to", BadValue, "the move starts and ends at version %q", m.To)
	}
	switch m.State {
	case MoveRunning, MoveDone, MoveRolledBack, MoveCancelled:
		return nil
	}
	return fault("state", BadValue, "%q is not a state of a move", m.State)
}

// Validate checks the rules that hold for every document, whatever patch
// produced it. It fails with *InvalidError.
func (d *Document) Validate() error {
	if d.Shards < 1 || d.Shards > 1<<16 {
		return fault("shards", BadValue, "%d is not in 1 to 65536", d.Shards)
	}
	return first(
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
		at := path + "." + key
		if name(values[key]) != key {
			return fault(at, BadName, "the name in the value is %q", name(values[key]))
		}
		if err := validate(values[key]); err != nil {
			return under(at, err)
		}
	}
	return nil
}

// checkSubjects requires that moves can name a model or a service by one name.
func (d *Document) checkSubjects() error {
	for _, name := range slices.Sorted(maps.Keys(d.Services)) {
		if _, ok := d.Models[name]; ok {
			return fault("services."+name, DuplicateName, "%q is also the name of a model", name)
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
			return fault(path+".model", UnknownName, "there is no model %q", t.Model)
		}
		if _, ok := d.Services[t.Service]; t.Service != "" && !ok {
			return fault(path+".service", UnknownName, "there is no service %q", t.Service)
		}
		agent := t.AgentAddr.String()
		if other, ok := agents[agent]; ok {
			return fault(path+".agent", DuplicateName, "target %q has the same agent", other)
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
			return fault(path+".subject", UnknownName, "there is no model or service %q", m.Subject)
		}
		if other, ok := running[m.Subject]; ok {
			return fault(path+".subject", OverlappingMove, "move %q of %q is running", other, m.Subject)
		}
		running[m.Subject] = name
		if version != m.From {
			return fault(path+".from", MoveRunningReason, "the current version of %q is %q, the move starts at %q", m.Subject, version, m.From)
		}
		if !m.Deadline.After(m.Started) {
			return fault(path+".deadline", DeadlinePast, "the deadline is not after the start of the move")
		}
		if d.ServingTargets(m.Subject, m.To) == 0 {
			return fault(path+".to", VersionWithoutTarget, "no target that is not draining has version %q of %q", m.To, m.Subject)
		}
		if d.ServingTargets(m.Subject, m.From) == 0 {
			return fault(path+".from", VersionWithoutTarget, "no target that is not draining has version %q of %q", m.From, m.Subject)
		}
	}
	return nil
}

// CurrentVersion returns the version of a model or service that gets the
// traffic that no move takes elsewhere.
func (d *Document) CurrentVersion(subject string) (string, bool) {
	if m, ok := d.Models[subject]; ok {
		return m.Version, true
	}
	s, ok := d.Services[subject]
	return s.Version, ok
}

// ServingTargets returns the number of targets of a version that are not draining.
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
func (o PutWorkspace) Validate() error { return under("workspace", o.Workspace.Validate()) }

// Validate checks the operation's fields.
func (o RemoveWorkspace) Validate() error { return checkName("name", o.Name) }

// Validate checks the operation's fields.
func (o OpenBudget) Validate() error {
	return first(checkName("workspace", o.Workspace), checkName("budget", o.Budget), checkRange("prepaid", o.Prepaid, 0, MaxAmount))
}

// Validate checks the operation's fields.
func (o TopUp) Validate() error {
	return first(checkName("budget", o.Budget), checkRange("amount", o.Amount, 1, MaxAmount))
}

// Validate checks the operation's fields.
func (o PutKey) Validate() error {
	if err := checkHash(o.Hash); err != nil {
		return err
	}
	switch {
	case o.Operator == "":
		return first(checkName("workspace", o.Workspace), checkName("budget", o.Budget))
	case o.Operator != "read" && o.Operator != "write":
		return fault("operator", BadValue, `%q is not "read" or "write"`, o.Operator)
	case o.Workspace != "" || o.Budget != "":
		return fault("workspace", BadValue, "a key is either a caller's or an operator's")
	}
	return nil
}

// Validate checks the operation's fields.
func (o RevokeKey) Validate() error { return checkHash(o.Hash) }

// SetDefaults fills what the operator leaves out.
func (o *PutModel) SetDefaults() { o.Model.SetDefaults() }

// Validate checks the operation's fields.
func (o PutModel) Validate() error { return under("model", o.Model.Validate()) }

// SetDefaults fills what the operator leaves out.
func (o *PutService) SetDefaults() { o.Service.SetDefaults() }

// Validate checks the operation's fields.
func (o PutService) Validate() error { return under("service", o.Service.Validate()) }

// SetDefaults fills what the operator leaves out.
func (o *PutTarget) SetDefaults() { o.Target.SetDefaults() }

// Validate checks the operation's fields.
func (o PutTarget) Validate() error { return under("target", o.Target.Validate()) }

// Validate checks the operation's fields.
func (o RemoveTarget) Validate() error { return checkName("name", o.Name) }

// Validate checks the operation's fields.
func (o DrainTarget) Validate() error { return checkName("name", o.Name) }

// Validate checks the operation's fields.
func (o UndrainTarget) Validate() error { return checkName("name", o.Name) }

// Validate checks the operation's fields.
func (o StartMove) Validate() error {
	err := first(checkName("move", o.Move), checkName("subject", o.Subject), checkName("from", o.From), checkName("to", o.To))
	if err == nil && o.From == o.To {
		err = fault("to", BadValue, "the move starts and ends at version %q", o.To)
	}
	return err
}

// Validate checks the operation's fields.
func (o ChangeDeadline) Validate() error { return checkName("move", o.Move) }

// Validate checks the operation's fields.
func (o CancelMove) Validate() error { return checkName("move", o.Move) }

// Validate checks the operation's fields.
func (o SetShare) Validate() error {
	return first(checkName("move", o.Move), checkRange("share", o.SharePPM, 0, FullSharePPM), checkEvidence(o.Evidence))
}

// Validate checks the operation's fields.
func (o FinishMove) Validate() error {
	return first(checkName("move", o.Move), checkEvidence(o.Evidence))
}

// Validate checks the operation's fields.
func (o RollBackMove) Validate() error {
	return first(checkName("move", o.Move), checkEvidence(o.Evidence))
}

func checkEvidence(text string) error {
	return checkRangeInt("evidence", len(text), 0, MaxEvidenceBytes)
}

// Validate checks the parts of a patch that need no document.
func (p Patch) Validate() error {
	if _, err := ulid.ParseStrict(p.ID); err != nil {
		return fault("id", BadValue, "%q is not a ULID", p.ID)
	}
	if n := len(p.Operations); n == 0 || n > MaxOperations {
		return fault("operations", TooLarge, "%d operations are not in 1 to %d", n, MaxOperations)
	}
	return nil
}

// under prefixes the path of an *InvalidError.
func under(path string, err error) error {
	invalid, ok := err.(*InvalidError) //nolint:errorlint // only called on unwrapped faults of this package
	if !ok {
		return err
	}
	moved := *invalid
	moved.Path = path + "." + invalid.Path
	return &moved
}

func orElse(value, def int64) int64 {
	if value == 0 {
		return def
	}
	return value
}
