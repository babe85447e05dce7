package main

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/urfave/cli/v3"

	"briarreach/standin"
)

const standinUsage = `Runs one stand-in of the platform or of a target on the loopback address, for
trials and tests. It stores nothing on disk.

Examples:
   briarreach standin table --port 8500
   briarreach standin engine --port 7001 --version v1
   briarreach standin service --port 7101 --version v1
   briarreach standin vm-list --port 8600`

func standinCommand() *cli.Command {
	port := &cli.Uint16Flag{Name: "port", Usage: "TCP port on 127.0.0.1", Required: true}
	version := &cli.StringFlag{Name: "version", Usage: "version that the target runs", Value: "v1"}
	run := func(start func(c *cli.Command) (interface{ Close() error }, error)) cli.ActionFunc {
		return func(ctx context.Context, c *cli.Command) error {
			s, err := start(c)
			if err != nil {
				return err
			}
			fmt.Fprintln(c.Root().Writer, "ready")
			<-ctx.Done()
			return s.Close()
		}
	}
	return &cli.Command{
		Name: "standin", Usage: "run a stand-in of the platform or of a target", Description: standinUsage,
		Commands: []*cli.Command{
			{Name: "table", Usage: "table service", Flags: []cli.Flag{port,
				&cli.IntFlag{Name: "writes-per-second", Usage: "limit of rows written; 0 means no limit"},
				&cli.IntFlag{Name: "reads-per-second", Usage: "limit of rows read; 0 means no limit"}},
				Action: run(func(c *cli.Command) (interface{ Close() error }, error) {
					return standin.NewTable(
						standin.WithTableListen(netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), c.Uint16("port"))),
						standin.WithTableWriteLimit(c.Int("writes-per-second")), standin.WithTableReadLimit(c.Int("reads-per-second")))
				})},
			{Name: "engine", Usage: "model engine", Flags: []cli.Flag{port, version,
				&cli.FloatFlag{Name: "rate", Usage: "tokens per second of a stream; 0 means as fast as possible"},
				&cli.IntFlag{Name: "slots", Usage: "requests in a batch", Value: 64},
				&cli.IntFlag{Name: "answer-tokens", Usage: "maximum tokens of an answer", Value: 64}},
				Action: run(func(c *cli.Command) (interface{ Close() error }, error) {
					return standin.NewEngine(standin.WithEnginePort(c.Uint16("port")), standin.WithEngineVersion(c.String("version")),
						standin.WithEngineTokenRates(c.Float("rate"), 0),
						standin.WithEngineCapacity(c.Int("slots"), int64(c.Int("slots"))*32_768), standin.WithEngineAnswerTokens(8, c.Int("answer-tokens")))
				})},
			{Name: "vm-list", Usage: "list of VMs, set with PUT /vms", Flags: []cli.Flag{port},
				Action: run(func(c *cli.Command) (interface{ Close() error }, error) {
					return standin.NewVMList(standin.WithVMListListen(netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), c.Uint16("port"))))
				})},
			{Name: "service", Usage: "plain service", Flags: []cli.Flag{port, version},
				Action: run(func(c *cli.Command) (interface{ Close() error }, error) {
					return standin.NewService(standin.WithServicePort(c.Uint16("port")), standin.WithServiceVersion(c.String("version")))
				})},
		},
	}
}
