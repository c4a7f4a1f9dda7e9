package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"bronzeusher.example/bronzeusher/bronzenode"
)

// The exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

const envPrefix = "BRONZEUSHER"

// program is one invocation of the command line. Its outputs and signals are
// fields so that tests can replace them.
type program struct {
	Stdout  io.Writer
	Stderr  io.Writer
	Signals <-chan os.Signal
}

// commands declares the subcommands and their flags for kong.
type commands struct {
	Serve   serveCommand   `cmd:"" help:"Run a balancer until SIGTERM."`
	Check   checkCommand   `cmd:"" help:"Validate configuration records before they are published."`
	Show    showCommand    `cmd:"" help:"Show the state of a running balancer."`
	Demo    demoCommand    `cmd:"" help:"Run a whole deployment on loopback and report what its callers saw."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

// errFailed is returned by a command that has already printed why it failed.
var errFailed = errors.New("failed")

// run parses args, runs the chosen command and returns the exit code.
func (p *program) run(ctx context.Context, args []string) (code int) {
	exited := -1
	parser, err := kong.New(&commands{},
		kong.Name("bronzeusher"),
		kong.Description("A layer-4 load balancer. Each flag can be set by an environment variable too."),
		kong.DefaultEnvars(envPrefix),
		kong.Writers(p.Stdout, p.Stderr),
		kong.Exit(func(code int) { exited = code }),
	)
	if err != nil {
		return p.fail(err, exitUsage)
	}
	kctx, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		return p.fail(err, exitUsage)
	}
	kctx.Bind(p)
	kctx.BindTo(ctx, (*context.Context)(nil))
	return p.exitCode(kctx, kctx.Run())
}

// exitCode prints the error of a command, unless the command has printed it,
// and returns the exit code. An invalid setting is reported under its flag.
func (p *program) exitCode(kctx *kong.Context, err error) int {
	var fieldErr *bronzenode.FieldError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errFailed):
		return exitFailed
	case errors.As(err, &fieldErr):
		return p.fail(fmt.Errorf("--%s: %s", flagName(kctx, fieldErr.Field), fieldErr.Reason), exitUsage)
	default:
		return p.fail(err, exitFailed)
	}
}

func (p *program) fail(err error, code int) int {
	_, _ = fmt.Fprintln(p.Stderr, "bronzeusher:", err)
	return code
}

// flagName returns the name of the flag that sets the field, or field itself
// if no flag does.
func flagName(kctx *kong.Context, field string) string {
	for _, flag := range kctx.Flags() {
		if strings.EqualFold(strings.ReplaceAll(flag.Name, "-", ""), field) {
			return flag.Name
		}
	}
	return field
}
