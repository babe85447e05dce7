package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"briarreach/config"
	"briarreach/daemon"
	"briarreach/entry"
	"briarreach/fleet"
	"briarreach/operator"
	"briarreach/peer"
)

// ledgerShards is the default number of ledger shards of a new deployment;
// docs/design.md gives the arithmetic.
const ledgerShards = 16

const initUsage = `Writes the first configuration document of a deployment to the table service:
the number of ledger shards and one operator key, which is written to a file.
It fails if a document already exists.

Example:
   briarreach init --settings examples/entry-1.toml --key-file operator.key`

func initCommand() *cli.Command {
	return &cli.Command{
		Name: "init", Usage: "initialize a deployment", Description: initUsage,
		Flags: []cli.Flag{settingsFlag(),
			&cli.StringFlag{Name: "key-file", Usage: "`FILE` to write the operator's key to", Required: true},
			&cli.IntFlag{Name: "shards", Usage: "number of ledger shards, 1 to 1024; it can't be changed later", Value: ledgerShards}},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, _, err := loadSettings(c.String("settings"))
			if err != nil {
				return err
			}
			if n := c.Int("shards"); n < 1 || n > 1024 {
				return &UsageError{Reason: "--shards must be from 1 to 1024"}
			}
			store, err := daemon.NewStore(s)
			if err != nil {
				return err
			}
			key := fleet.NewSecret()
			// Writes the key to disk before the document refers to it: a lost
			// response of the table service must not leave a deployment without
			// its key.
			if err := os.WriteFile(c.String("key-file"), []byte(key+"\n"), 0o600); err != nil {
				return err
			}
			return entry.Bootstrap(ctx, store, c.Int("shards"), config.Patch{ID: newPatchID(),
				Operations: []config.Operation{config.PutKey{Hash: entry.HashKey(key), Operator: string(operator.Write)}}}, time.Now())
		},
	}
}

const keysUsage = `Creates the fleet's certificate authority and a certificate for each process.
The files are <process>-cert.pem, <process>-key.pem and ca.pem; the authority's
own key is ca-key.pem, which no process needs.

Examples:
   briarreach keys authority --dir certs
   briarreach keys issue entry-1 --role entry --ip 10.0.0.1 --dir certs`

func keysCommand() *cli.Command {
	dir := &cli.StringFlag{Name: "dir", Usage: "`DIRECTORY` of the files", Value: "certs"}
	return &cli.Command{
		Name: "keys", Usage: "create the certificates of a deployment", Description: keysUsage,
		Commands: []*cli.Command{
			{Name: "authority", Usage: "create a certificate authority", Flags: []cli.Flag{dir}, Action: keysAuthority},
			{Name: "issue", Usage: "issue the certificate of a process", ArgsUsage: "PROCESS", Action: keysIssue, Flags: []cli.Flag{dir,
				&cli.StringFlag{Name: "role", Usage: "entry or agent", Required: true},
				&cli.StringSliceFlag{Name: "ip", Usage: "IP address of the process", Value: []string{"127.0.0.1"}},
				&cli.DurationFlag{Name: "validity", Usage: "how long the certificate is valid", Value: 90 * 24 * time.Hour}}},
		},
	}
}

func keysAuthority(_ context.Context, c *cli.Command) error {
	authority, err := peer.NewAuthority()
	if err != nil {
		return err
	}
	dir := c.String("dir")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	keyFile := filepath.Join(dir, "ca-key.pem")
	if _, err := os.Stat(keyFile); err == nil {
		return &UsageError{Reason: keyFile + " already exists"}
	}
	cert, key := authority.PEM()
	if err := os.WriteFile(keyFile, key, 0o600); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "ca.pem"), cert, 0o644)
}

func keysIssue(_ context.Context, c *cli.Command) error {
	process, err := singleArgument(c, "the name of the process")
	if err != nil {
		return err
	}
	role := peer.Role(c.String("role"))
	if role != peer.EntryRole && role != peer.AgentRole {
		return &UsageError{Reason: "--role must be entry or agent"}
	}
	var ips []netip.Addr
	for _, text := range c.StringSlice("ip") {
		ip, err := netip.ParseAddr(text)
		if err != nil {
			return &UsageError{Reason: "--ip: " + err.Error()}
		}
		ips = append(ips, ip)
	}
	dir := c.String("dir")
	file := func(name string) string { return filepath.Join(dir, name) }
	cert, err := os.ReadFile(file("ca.pem"))
	if err != nil {
		return &UsageError{Reason: err.Error()}
	}
	key, err := os.ReadFile(file("ca-key.pem"))
	if err != nil {
		return &UsageError{Reason: err.Error()}
	}
	authority, err := peer.ParseAuthority(cert, key)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	issued, err := authority.Issue(process, role, ips, c.Duration("validity"))
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	return issued.Write(file("ca.pem"), file(process+"-cert.pem"), file(process+"-key.pem"))
}
