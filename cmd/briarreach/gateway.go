package main

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/urfave/cli/v3"

	"briarreach/gatewaydaemon"
	"briarreach/logsink"
	"briarreach/platform"
)

const gatewayUsage = `Runs a gateway: an entry that sends requests directly to the replicas of a
service, on a platform with a replica registry and a row store. It shuts down
gracefully on SIGTERM. The platform's settings file is named by the environment
variable ` + platform.SettingsVariable + ` or by --platform.

Examples:
   briarreach gateway --platform /etc/briarreach/boot.conf
   briarreach gateway --platform /etc/briarreach/boot.conf --tuning deploy/gateway.toml
   briarreach gateway --platform /etc/briarreach/boot.conf --check`

// memoryLimitShare is the share of the platform's memory limit above which the
// garbage collector runs more often.
const memoryLimitShare = 0.6

const gatewayName = "gateway"

// gatewayCommand returns the command. SIGHUP must be delivered to hangups since the
// start of the process.
func gatewayCommand(hangups <-chan os.Signal) *cli.Command {
	return &cli.Command{
		Name: gatewayName, Usage: "run a gateway on the platform", Description: gatewayUsage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Usage: "the platform's settings `FILE`",
				Sources: cli.EnvVars(platform.SettingsVariable), Required: true},
			&cli.StringFlag{Name: "tuning", Usage: "tuning `FILE` in TOML"},
			&cli.BoolFlag{Name: "check", Usage: "check both files and exit"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := platform.LoadSettings(c.String("platform"))
			if err != nil {
				return &UsageError{Reason: err.Error()}
			}
			tuning := gatewaydaemon.DefaultTuning()
			if path := c.String("tuning"); path != "" {
				if tuning, err = gatewaydaemon.LoadTuning(path); err != nil {
					return &UsageError{Reason: err.Error()}
				}
			}
			if c.Bool("check") {
				_, err := c.Root().Writer.Write([]byte("settings are valid\n"))
				return err
			}
			debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryLimit)))
			sink := logsink.New(os.Stdout)
			defer sink.Close()
			logger := &log.Logger{Level: log.InfoLevel, Handler: json.New(sink)}
			d, err := gatewaydaemon.New(s, gatewaydaemon.WithLog(logger), gatewaydaemon.WithTuning(tuning), gatewaydaemon.WithDroppedLines(sink.TotalDropped))
			if err != nil {
				return err
			}
			return d.Run(ctx, c.String("platform"), hangups)
		},
	}
}
