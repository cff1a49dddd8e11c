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

// errorExitCode is the exit code for invalid flags or settings, and for a controller that
// cannot start.
const errorExitCode = 2

// settingsFiles are the paths of the settings files that a subcommand reads.
type settingsFiles struct {
	Config   string `help:"Platform's settings file (JSON)." required:"" type:"path" placeholder:"FILE"`
	Settings string `help:"Operators' settings file (TOML)." type:"path" placeholder:"FILE"`
}

// cli holds the subcommands and their flags.
type cli struct {
	Serve   serveCmd   `cmd:"" default:"withargs" help:"Run a controller (the default)."`
	Check   checkCmd   `cmd:"" help:"Check the settings files and exit."`
	Version versionCmd `cmd:"" help:"Print the version and exit."`
}

// serveCmd runs a controller.
type serveCmd struct{ settingsFiles }

// checkCmd checks the settings files.
type checkCmd struct{ settingsFiles }

// versionCmd prints the version of the program.
type versionCmd struct{}

func main() {
	var commands cli
	parser := kong.Must(&commands, kong.Name("marblehaven"), kong.Description("A cluster scheduler."))
	selected, err := parser.Parse(os.Args[1:])
	if err != nil {
		exitWithError(err)
	}
	if err := selected.Run(); err != nil {
		exitWithError(err)
	}
}

// exitWithError ends the program with an error line on standard error. Operators rely on a
// single line for invalid settings.
func exitWithError(err error) {
	fmt.Fprintf(os.Stderr, "marblehaven: %v\n", err)
	os.Exit(errorExitCode)
}

// Run runs a controller until the process receives an interrupt or termination signal.
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

// Run reads and checks the settings files without serving.
func (c *checkCmd) Run() error {
	if _, err := marblehaven.LoadConfig(c.Config, c.Settings); err != nil {
		return err
	}
	fmt.Println("settings are valid")
	return nil
}

// Run prints the version recorded in the binary, or "unknown" if there is none.
func (versionCmd) Run() error {
	version := "unknown"
	if buildInfo, ok := debug.ReadBuildInfo(); ok {
		version = buildInfo.Main.Version
	}
	fmt.Println("marblehaven", version)
	return nil
}

// logger returns a logger that writes to standard error. levelName is the value of
// LOG_LEVEL: error, info or debug; empty stands for info.
func logger(levelName string) (*slog.Logger, error) {
	level := slog.LevelInfo
	switch levelName {
	case "", "info":
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	default:
		return nil, fmt.Errorf("LOG_LEVEL: %q is not one of error, info, debug", levelName)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})), nil
}
