package main

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/urfave/cli/v3"

	"briarreach/config"
	"briarreach/entry"
	"briarreach/fleet"
	"briarreach/operator"
	"briarreach/timeline"
)

func itoa(n int) string { return strconv.Itoa(n) }

func workspaceCommand() *cli.Command {
	return &cli.Command{
		Name: "workspace", Usage: "create workspaces and their keys",
		Description: "Examples:\n   briarreach workspace create patras-desk --prepaid 1000000\n   briarreach workspace remove patras-desk",
		Commands: []*cli.Command{
			{Name: "create", Usage: "create a workspace with a budget and a caller key, and print the key once", ArgsUsage: "NAME",
				Flags: patchFlags(
					&cli.Int64Flag{Name: "prepaid", Usage: "budget tokens", Required: true},
					&cli.IntFlag{Name: "priority", Usage: "priority of its waiting requests; higher is served first"}),
				Action: workspaceCreate},
			{Name: "remove", Usage: "remove a workspace; its budget stays in the ledger", ArgsUsage: "NAME", Flags: patchFlags(),
				Action: submitNamed("the workspace", func(name string) config.Operation { return config.RemoveWorkspace{Name: name} })},
		},
	}
}

// submitNamed returns an action that submits one operation, on the name that is
// the command's argument.
func submitNamed(argumentName string, newOperation func(name string) config.Operation) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		name, err := singleArgument(c, argumentName)
		if err != nil {
			return err
		}
		return submitOperations(ctx, c, newOperation(name))
	}
}

func workspaceCreate(ctx context.Context, c *cli.Command) error {
	name, err := singleArgument(c, "the workspace")
	if err != nil {
		return err
	}
	key := fleet.NewSecret()
	err = submitOperations(ctx, c,
		config.PutWorkspace{Workspace: config.Workspace{Name: name, Priority: c.Int("priority")}},
		config.OpenBudget{Workspace: name, Budget: name, Prepaid: c.Int64("prepaid")},
		config.PutKey{Hash: entry.HashKey(key), Workspace: name, Budget: name})
	if err != nil {
		return err
	}
	fmt.Fprintf(c.Root().ErrWriter, "caller key of %s (shown once): %s\n", name, key)
	return nil
}

func budgetCommand() *cli.Command {
	return &cli.Command{
		Name: "budget", Usage: "read and top up prepaid budgets",
		Description: "Examples:\n   briarreach budget list\n   briarreach budget top-up patras-desk --amount 500000",
		Commands: []*cli.Command{
			{Name: "list", Usage: "print all budgets", Flags: apiFlags(), Action: budgetList},
			{Name: "top-up", Usage: "add to a budget", ArgsUsage: "NAME",
				Flags: patchFlags(&cli.Int64Flag{Name: "amount", Usage: "budget tokens", Required: true}),
				Action: func(ctx context.Context, c *cli.Command) error {
					name, err := singleArgument(c, "the budget")
					if err != nil {
						return err
					}
					return submitOperations(ctx, c, config.TopUp{Budget: name, Amount: c.Int64("amount")})
				}},
		},
	}
}

func budgetList(ctx context.Context, c *cli.Command) error {
	client, err := apiClient(c)
	if err != nil {
		return err
	}
	budgets, err := client.Budgets(ctx)
	if err != nil {
		return err
	}
	var rows []tableRow
	for _, b := range budgets {
		rows = append(rows, tableRow{b.Name, b.Prepaid, b.Settled, b.Outstanding, b.Available})
	}
	return printRows(c, budgets, []any{"budget", "prepaid", "settled", "granted to entries", "available"}, rows)
}

func targetCommand() *cli.Command {
	return &cli.Command{
		Name: "target", Usage: "register and remove targets",
		Description: "Examples:\n   briarreach target put engine-1 --model itinerary-large --version v1 --agent 10.0.0.5:9100 --max-concurrent 64 --max-tokens 262144\n" +
			"   briarreach target list\n   briarreach target remove engine-1",
		Commands: []*cli.Command{
			{Name: "list", Usage: "print all targets", Flags: apiFlags(), Action: targetList},
			{Name: "put", Usage: "register a target or replace its registration", ArgsUsage: "NAME", Action: targetPut,
				Flags: patchFlags(
					&cli.StringFlag{Name: "model", Usage: "model that the target serves"},
					&cli.StringFlag{Name: "service", Usage: "plain service that the target serves"},
					&cli.StringFlag{Name: "version", Usage: "version of the target", Required: true},
					&cli.StringFlag{Name: "agent", Usage: "`ADDRESS` of the agent beside the target", Required: true},
					&cli.StringFlag{Name: "vm", Usage: "VM of the target in the platform's list"},
					&cli.StringFlag{Name: "failure-domain", Usage: "failure domain of the VM"},
					&cli.IntFlag{Name: "max-concurrent", Usage: "requests that the target can run at a time", Required: true},
					&cli.Int64Flag{Name: "max-tokens", Usage: "tokens that an engine can hold"})},
			{Name: "remove", Usage: "remove a target", ArgsUsage: "NAME", Flags: patchFlags(),
				Action: submitNamed("the target", func(name string) config.Operation { return config.RemoveTarget{Name: name} })},
		},
	}
}

func targetPut(ctx context.Context, c *cli.Command) error {
	name, err := singleArgument(c, "the target")
	if err != nil {
		return err
	}
	agent, err := netip.ParseAddrPort(c.String("agent"))
	if err != nil {
		return &UsageError{Reason: "--agent: " + err.Error()}
	}
	return submitOperations(ctx, c, config.PutTarget{Target: config.Target{
		Name: name, Model: c.String("model"), Service: c.String("service"), Version: c.String("version"),
		AgentAddr: agent, VM: c.String("vm"), FailureDomain: c.String("failure-domain"),
		MaxConcurrent: c.Int("max-concurrent"), MaxTokens: c.Int64("max-tokens"),
	}})
}

func targetList(ctx context.Context, c *cli.Command) error {
	d, err := fetchDocument(ctx, c)
	if err != nil {
		return err
	}
	var rows []tableRow
	for name, t := range d.Targets {
		rows = append(rows, tableRow{name, t.Model + t.Service, t.Version, t.AgentAddr.String(), t.FailureDomain, t.Draining})
	}
	return printRows(c, d.Targets, []any{"target", "serves", "version", "agent", "failure domain", "draining"}, rows)
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "stop new work at a target; running work finishes", ArgsUsage: "TARGET",
		Description: "Examples:\n   briarreach drain engine-1\n   briarreach drain engine-1 --undo",
		Flags:       patchFlags(&cli.BoolFlag{Name: "undo", Usage: "let the target take work again"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			name, err := singleArgument(c, "the target")
			if err != nil {
				return err
			}
			if c.Bool("undo") {
				return submitOperations(ctx, c, config.UndrainTarget{Name: name})
			}
			return submitOperations(ctx, c, config.DrainTarget{Name: name})
		},
	}
}

func moveCommand() *cli.Command {
	return &cli.Command{
		Name: "move", Usage: "move traffic from one version to another by a deadline",
		Description: "Examples:\n   briarreach move start spring --subject itinerary-large --from v1 --to v2 --within 2h\n" +
			"   briarreach move status spring\n   briarreach move wait spring --wait 3h\n   briarreach move cancel spring",
		Commands: []*cli.Command{
			{Name: "start", Usage: "declare a move", ArgsUsage: "NAME", Action: moveStart, Flags: patchFlags(
				&cli.StringFlag{Name: "subject", Usage: "model or service", Required: true},
				&cli.StringFlag{Name: "from", Usage: "old version", Required: true},
				&cli.StringFlag{Name: "to", Usage: "new version", Required: true},
				&cli.DurationFlag{Name: "within", Usage: "time until the deadline", Required: true})},
			{Name: "deadline", Usage: "change the deadline of a running move", ArgsUsage: "NAME",
				Flags: patchFlags(&cli.DurationFlag{Name: "within", Usage: "time from now until the deadline", Required: true}),
				Action: func(ctx context.Context, c *cli.Command) error {
					name, err := singleArgument(c, "the move")
					if err != nil {
						return err
					}
					return submitOperations(ctx, c, config.ChangeDeadline{Move: name, Deadline: time.Now().Add(c.Duration("within")).UTC()})
				}},
			{Name: "cancel", Usage: "cancel a running move", ArgsUsage: "NAME", Flags: patchFlags(),
				Action: submitNamed("the move", func(name string) config.Operation { return config.CancelMove{Move: name} })},
			{Name: "status", Usage: "print the moves, or one of them", ArgsUsage: "[NAME]", Flags: apiFlags(), Action: moveStatus},
			{Name: "wait", Usage: "wait until a move has ended", ArgsUsage: "NAME", Action: moveWait,
				Flags: apiFlags(&cli.DurationFlag{Name: "wait", Usage: "how long to wait", Value: time.Hour})},
		},
	}
}

func moveStart(ctx context.Context, c *cli.Command) error {
	name, err := singleArgument(c, "the move")
	if err != nil {
		return err
	}
	return submitOperations(ctx, c, config.StartMove{Move: name, Subject: c.String("subject"), From: c.String("from"),
		To: c.String("to"), Deadline: time.Now().Add(c.Duration("within")).UTC()})
}

func moveRows(moves map[string]config.Move, filter string) []tableRow {
	var rows []tableRow
	for name, m := range moves {
		if filter == "" || filter == name {
			rows = append(rows, tableRow{name, m.Subject, m.From + " to " + m.To, m.State,
				fmt.Sprintf("%.2f %%", float64(m.SharePPM)/10_000), m.Deadline.Format(time.RFC3339), m.Evidence})
		}
	}
	return rows
}

func moveStatus(ctx context.Context, c *cli.Command) error {
	d, err := fetchDocument(ctx, c)
	if err != nil {
		return err
	}
	filter := c.Args().First()
	if _, ok := d.Moves[filter]; filter != "" && !ok {
		return &operator.Error{Type: operator.NotFound, Message: "there is no move " + filter}
	}
	return printRows(c, d.Moves, []any{"move", "subject", "versions", "state", "share", "deadline", "evidence"}, moveRows(d.Moves, filter))
}

func moveWait(ctx context.Context, c *cli.Command) error {
	name, err := singleArgument(c, "the move")
	if err != nil {
		return err
	}
	client, err := apiClient(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("wait"))
	defer cancel()
	share := int64(-1)
	for {
		d, err := client.Config(ctx)
		if err == nil {
			m, ok := d.Moves[name]
			if !ok {
				return &operator.Error{Type: operator.NotFound, Message: "there is no move " + name}
			}
			if m.State != config.MoveRunning {
				return printRows(c, m, []any{"move", "state", "evidence"}, []tableRow{{name, m.State, m.Evidence}})
			}
			if m.SharePPM != share {
				share = m.SharePPM
				printProgress(c, "%s has %.2f %% of the traffic\n", m.To, float64(share)/10_000)
			}
		}
		select {
		case <-ctx.Done():
			return &TimeoutError{Awaited: "move " + name}
		case <-time.After(pollInterval):
		}
	}
}

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name: "timeline", Usage: "print the events of all processes in causal order",
		Description: "Examples:\n   briarreach timeline --request 01J...\n   briarreach timeline --move spring --json",
		Flags: apiFlags(
			&cli.StringFlag{Name: "request", Usage: "only events of this request id"},
			&cli.StringFlag{Name: "workspace", Usage: "only events of this workspace"},
			&cli.StringFlag{Name: "move", Usage: "only events of this move"},
			&cli.Uint64Flag{Name: "config-number", Usage: "only events of this configuration number"},
			&cli.IntFlag{Name: "limit", Usage: "maximum number of events", Value: 200}),
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := apiClient(c)
			if err != nil {
				return err
			}
			events, err := client.Timeline(ctx, timeline.Filter{RequestID: c.String("request"), Workspace: c.String("workspace"),
				Move: c.String("move"), ConfigNumber: c.Uint64("config-number"), Limit: c.Int("limit")})
			if err != nil {
				return err
			}
			var rows []tableRow
			for _, e := range events {
				rows = append(rows, tableRow{e.At.Time().UTC().Format("15:04:05.000"), e.At.Logical, e.Process, e.Kind,
					e.RequestID, e.Workspace, e.Target, e.Move, e.ConfigNumber, e.Detail})
			}
			return printRows(c, events, []any{"time", "", "process", "event", "request", "workspace", "target", "move", "number", "detail"}, rows)
		},
	}
}

// newPatchID returns a unique id for a patch.
func newPatchID() string { return ulid.Make().String() }
