// Command marblehaven runs a controller node of the marblehaven scheduler.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"marblehaven"
)

// usageError is the exit code for bad settings or flags.
const usageError = 2

type files struct {
	Config   string `help:"Platform's settings file (JSON)." required:"" type:"path" placeholder:"FILE"`
	Settings string `help:"Operators' settings file (TOML)." type:"path" placeholder:"FILE"`
}

type cli struct {
	Serve   serveCmd   `cmd:"" default:"withargs" help:"Run a controller (the default)."`
	Check   checkCmd   `cmd:"" help:"Check the settings files and exit."`
	Version versionCmd `cmd:"" help:"Print the version and exit."`
}

type serveCmd struct{ files }
type checkCmd struct{ files }
type versionCmd struct{}

func main() {
	var c cli
	parser := kong.Must(&c, kong.Name("marblehaven"), kong.Description("A cluster scheduler."))
	kctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fail(err)
	}
	if err := kctx.Run(); err != nil {
		fail(err)
	}
}

func fail(err error) {
	fmt.Fprintf(os.Stderr, "marblehaven: %v\n", err)
	os.Exit(usageError)
}

func (s *serveCmd) Run() error {
	log, err := logger(os.Getenv("LOG_LEVEL"))
	if err != nil {
		return err
	}
	cfg, err := marblehaven.LoadConfig(s.Config, s.Settings)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return marblehaven.Run(ctx, cfg, log)
}

func (c *checkCmd) Run() error {
	if _, err := marblehaven.LoadConfig(c.Config, c.Settings); err != nil {
		return err
	}
	fmt.Println("settings are valid")
	return nil
}

func (versionCmd) Run() error {
	version := "unknown"
	if bi, ok := debug.ReadBuildInfo(); ok {
		version = bi.Main.Version
	}
	fmt.Println("marblehaven", version)
	return nil
}

func logger(level string) (*slog.Logger, error) {
	l := slog.LevelInfo
	switch level {
	case "", "info":
	case "error":
		l = slog.LevelError
	case "debug":
		l = slog.LevelDebug
	default:
		return nil, fmt.Errorf("LOG_LEVEL: %q is none of error, info, debug", level)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: l})), nil
}
