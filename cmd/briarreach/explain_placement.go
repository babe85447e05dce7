package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"briarreach/gateway"
	"briarreach/placement"
	"briarreach/platform"
	"briarreach/story"
)

const explainPlacementUsage = `Asks a running gateway where a request would be sent now, and prints the chosen
replica or the refusal, and each replica of the service with the reason why it
would be taken or left out. Nothing is sent to a replica, and nothing changes.
Quota, quarantine and retries are not consulted. The gateway is named by its
readiness address, or by its platform's settings file. The request is described
by flags or, with --request, by the log line of an earlier request; flags replace
what the line says.

Examples:
   briarreach explain placement --gateway 10.0.0.7:8081 --workspace acme --host api.example --path /v1/chat --tokens 2368 --part system:568
   briarreach explain placement --platform /etc/briarreach/boot.conf --request 9c41d07be2a35f68 gateway-*.log`

func explainPlacementCommand() *cli.Command {
	return &cli.Command{
		Name: "placement", Usage: "explain where a request would be sent now", Description: explainPlacementUsage, ArgsUsage: "[FILE ...]",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "gateway", Usage: "readiness `ADDRESS` of the gateway, as IP:PORT"},
			&cli.StringFlag{Name: "platform", Usage: "the platform's settings `FILE`, which has the readiness address", Sources: cli.EnvVars(platform.SettingsVariable)},
			&cli.StringFlag{Name: "workspace", Usage: "`NAME` of the workspace"},
			&cli.StringFlag{Name: "host", Usage: "`HOST` of the request"},
			&cli.StringFlag{Name: "path", Usage: "`PATH` of the request"},
			&cli.StringFlag{Name: "service", Usage: "`NAME` of a service of the route's traffic split; one is chosen at random without it"},
			&cli.IntFlag{Name: "tokens", Usage: "`TOKENS` of the whole prompt; 0 for a request without a prompt"},
			&cli.StringSliceFlag{Name: "part", Usage: "a shared part of the prompt as `ID:TOKENS`; once for each, in order"},
			&cli.StringFlag{Name: "request", Usage: "`ID` of a request in the log files; without files, standard input is read"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		// A part's id may have commas.
		DisableSliceFlagSeparator: true,
		Action:                    explainPlacement,
	}
}

func explainPlacement(ctx context.Context, c *cli.Command) error {
	address, err := gatewayAddress(c)
	if err != nil {
		return err
	}
	var q gateway.PlacementQuery
	if id := c.String("request"); id != "" {
		if q, err = recordedQuery(c, id); err != nil {
			return err
		}
	} else if c.Args().Present() {
		return &UsageError{Reason: "log files are read only with --request"}
	}
	q.Workspace, q.Service = cmp.Or(c.String("workspace"), q.Workspace), cmp.Or(c.String("service"), q.Service)
	if c.IsSet("host") || c.IsSet("path") {
		q.Route = ""
	}
	q.Host, q.Path = c.String("host"), c.String("path")
	if c.IsSet("tokens") {
		q.PromptTokens = c.Int("tokens")
	}
	if c.IsSet("part") {
		if q.SharedParts, err = promptParts(c); err != nil {
			return err
		}
	}
	if q.Route == "" && (q.Host == "" || q.Path == "") {
		return &UsageError{Reason: "the request's --host and --path are missing"}
	}
	explanation, err := platform.ExplainPlacement(ctx, address, q)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(c.Root().Writer, explanation)
	}
	printExplanation(c.Root().Writer, explanation)
	return nil
}

func gatewayAddress(c *cli.Command) (netip.AddrPort, error) {
	if text := c.String("gateway"); text != "" {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return address, &UsageError{Reason: "--gateway: " + err.Error()}
		}
		return address, nil
	}
	if c.String("platform") == "" {
		return netip.AddrPort{}, &UsageError{Reason: "the gateway is missing: --gateway or --platform"}
	}
	s, err := platform.LoadSettings(c.String("platform"))
	if err != nil {
		return netip.AddrPort{}, &UsageError{Reason: err.Error()}
	}
	return s.ReadinessAddress, nil
}

// recordedQuery returns the query of a request in the log files, without the
// parts of the prompt if flags give them.
func recordedQuery(c *cli.Command, id string) (gateway.PlacementQuery, error) {
	var q gateway.PlacementQuery
	var readers []io.Reader
	for _, path := range c.Args().Slice() {
		file, err := os.Open(path)
		if err != nil {
			return q, &UsageError{Reason: err.Error()}
		}
		defer func() { _ = file.Close() }()
		readers = append(readers, file)
	}
	if len(readers) == 0 {
		readers = append(readers, os.Stdin)
	}
	recorded, err := story.FindRequest(io.MultiReader(readers...), id)
	if err != nil {
		return q, err
	}
	q = gateway.PlacementQuery{Workspace: recorded.Workspace, Route: recorded.Route, Service: recorded.Service, PromptTokens: recorded.PromptTokens}
	switch {
	case c.IsSet("part"):
	case len(recorded.PartTokens) != len(recorded.PartIDs):
		return q, &UsageError{Reason: "the log line has no sizes of the prompt's parts; give each as --part ID:TOKENS: " + strings.Join(recorded.PartIDs, " ")}
	default:
		for i, id := range recorded.PartIDs {
			q.SharedParts = append(q.SharedParts, gateway.PromptPart{ID: id, Tokens: recorded.PartTokens[i]})
		}
	}
	return q, nil
}

func promptParts(c *cli.Command) ([]gateway.PromptPart, error) {
	var parts []gateway.PromptPart
	for _, text := range c.StringSlice("part") {
		part, err := platform.ParsePromptPart(text)
		if err != nil {
			return nil, &UsageError{Reason: "--" + err.Error()}
		}
		parts = append(parts, part)
	}
	return parts, nil
}

// printExplanation prints an explanation as text.
func printExplanation(w io.Writer, e *gateway.PlacementExplanation) {
	fmt.Fprintf(w, "route %s, workspace %s, service %s, configuration %d, registry %d\n", cmp.Or(e.Route, "-"), cmp.Or(e.Workspace, "-"), e.Service, e.ConfigVersion, e.RegistryVersion)
	if e.Refusal != nil {
		fmt.Fprintf(w, "refused: %s, Retry-After %.1f ms\n", e.Refusal.Reason, e.Refusal.RetryAfterMS)
	} else {
		fmt.Fprintf(w, "sent to %s: %s\n", e.Replica, e.Why)
	}
	t := newTable(w, "replica", "zone", "version", "verdict", "wait ms", "expected ms", "load", "bound", "backlog", "cached", "speed")
	for _, n := range e.Candidates {
		t.AppendRow(tableRow{n.Replica, n.FailureDomain, n.Version, verdictText(n.Verdict), optional("%.1f", n.WaitMS), optional("%.1f", n.ExpectedMS),
			n.Load, optional("%.0f", float64(n.Bound)), n.BacklogTokens, n.CachedTokens, optional("%.2f", n.Speed)})
	}
	t.Render()
}

func verdictText(v placement.Verdict) string { return strings.ReplaceAll(string(v), "_", " ") }

// optional formats a figure that 0 says is absent.
func optional(format string, v float64) string {
	if v == 0 {
		return "-"
	}
	return fmt.Sprintf(format, v)
}
