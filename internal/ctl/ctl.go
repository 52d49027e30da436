// Package ctl is the operators' command line: commands over the operators'
// interface, tables for a person, JSON for scripts, stable exit codes.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	passtrayv1 "github.com/passtray/passtray/api/passtray/v1"
	"github.com/passtray/passtray/internal/pki"
	"github.com/passtray/passtray/internal/settings"
)

// The exit codes. Scripts rely on them.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitRefused     = 3
	ExitNotFound    = 4
	ExitUnavailable = 5
	ExitTimeout     = 6
)

// Options are the flags every command takes.
type Options struct {
	Daemons     []string      `short:"d" long:"daemon" env:"PASSTRAY_DAEMONS" env-delim:"," description:"operator address of a daemon, IP:port; give several to be safe against one that is down"`
	Keys        string        `short:"k" long:"keys" env:"PASSTRAY_KEYS" description:"directory made by 'keys init'; stands for the three flags that follow"`
	Authority   string        `long:"authority" description:"PEM file of the fleet's authority"`
	Certificate string        `long:"certificate" description:"PEM file of the operator's certificate"`
	Key         string        `long:"key" description:"PEM file of the operator's key"`
	Output      string        `short:"o" long:"output" choice:"table" choice:"json" default:"table" description:"how to print"`
	Timeout     time.Duration `long:"timeout" default:"30s" description:"how long to try"`
}

// program is what commands share.
type program struct {
	Options
	out    io.Writer
	errOut io.Writer
}

// Run runs one command line and returns the exit code.
func Run(arguments []string, out, errOut io.Writer) int {
	shared := &program{out: out, errOut: errOut}
	parser := flags.NewNamedParser("passtrayctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = exitCodeHelp
	if _, err := parser.AddGroup("Connection", "", &shared.Options); err != nil {
		panic(err)
	}
	addCommands(parser, shared)
	_, err := parser.ParseArgs(arguments)
	return report(err, out, errOut)
}

const exitCodeHelp = `Exit codes: 0 done, 1 failed, 2 wrong usage, 3 refused by the fleet, ` +
	`4 not found, 5 no daemon reached or outcome unknown, 6 timed out.`

func report(err error, out, errOut io.Writer) int {
	if err == nil {
		return ExitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(out, usage.Message)
			return ExitOK
		}
		_, _ = fmt.Fprintln(errOut, usage.Message)
		return ExitUsage
	}
	_, _ = fmt.Fprintln(errOut, messageOf(err))
	return exitCodeOf(err)
}

// messageOf is an error in words: the fleet's own, without the transport's
// frame, behind what was being done.
func messageOf(err error) string {
	cause := eris.Cause(err)
	answer, isStatus := status.FromError(cause)
	if !isStatus {
		return err.Error()
	}
	return strings.Replace(err.Error(), cause.Error(), answer.Message(), 1)
}

func exitCodeOf(err error) int {
	var faults settings.Faults
	if errors.As(err, &faults) {
		return ExitUsage
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return ExitTimeout
	}
	switch status.Code(eris.Cause(err)) {
	case codes.InvalidArgument, codes.AlreadyExists, codes.FailedPrecondition, codes.PermissionDenied:
		return ExitRefused
	case codes.NotFound:
		return ExitNotFound
	case codes.Unavailable:
		return ExitUnavailable
	case codes.DeadlineExceeded:
		return ExitTimeout
	}
	return ExitFailed
}

func (p *program) files() pki.Files {
	files := pki.Files{Authority: p.Authority, Certificate: p.Certificate, Key: p.Key}
	if p.Keys == "" {
		return files
	}
	for field, name := range map[*string]string{
		&files.Authority: pki.AuthorityFile, &files.Certificate: "operator.pem", &files.Key: "operator-key.pem",
	} {
		if *field == "" {
			*field = filepath.Join(p.Keys, name)
		}
	}
	return files
}

func usageError(format string, values ...any) error {
	return &flags.Error{Type: flags.ErrRequired, Message: fmt.Sprintf(format, values...)}
}

// retryPause is how long to wait before an unavailable fleet is asked again.
const retryPause = 300 * time.Millisecond

// call runs one call against the daemons in turn until one answers with
// something other than UNAVAILABLE, or time is up. Changes carry a request
// identifier, so that trying again is safe.
func (p *program) call(run func(ctx context.Context, client passtrayv1.OperatorClient) error) error {
	if len(p.Daemons) == 0 {
		return usageError("--daemon: give the operator address of at least one daemon, or set PASSTRAY_DAEMONS")
	}
	store, err := pki.Load(p.files())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.Timeout)
	defer cancel()
	for attempt := 0; ; attempt++ {
		address := p.Daemons[attempt%len(p.Daemons)]
		err := p.callOne(ctx, store, address, run)
		if status.Code(eris.Cause(err)) != codes.Unavailable {
			return err
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
			return err
		}
	}
}

func (p *program) callOne(ctx context.Context, store *pki.Store, address string, run func(context.Context, passtrayv1.OperatorClient) error) error {
	parsed, err := parseAddress(address)
	if err != nil {
		return err
	}
	config := store.Client(parsed.Addr().String(), pki.RoleDaemon)
	config.NextProtos = []string{"h2"}
	connection, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(credentials.NewTLS(config)))
	if err != nil {
		return eris.Wrap(err, "daemon "+address)
	}
	defer func() { _ = connection.Close() }()
	return run(ctx, passtrayv1.NewOperatorClient(connection))
}

// ChangeFlags are the flags of every changing command.
type ChangeFlags struct {
	RequestID        string `long:"request-id" description:"identifier that makes a repeated call run once; made up if not given"`
	ExpectedRevision uint64 `long:"expected-revision" description:"refuse unless the configuration is at this revision"`
	Wait             bool   `long:"wait" description:"return only when the change is in force on every live daemon"`
}

func (f *ChangeFlags) options() *passtrayv1.ChangeOptions {
	if f.RequestID == "" {
		f.RequestID = uuid.NewString()
	}
	return &passtrayv1.ChangeOptions{RequestId: f.RequestID, ExpectedRevision: f.ExpectedRevision}
}

// change makes one change, prints the answer and waits if asked to.
func (p *program) change(given *ChangeFlags, run func(context.Context, passtrayv1.OperatorClient, *passtrayv1.ChangeOptions) (*passtrayv1.ChangeResponse, error)) error {
	options := given.options()
	var answer *passtrayv1.ChangeResponse
	err := p.call(func(ctx context.Context, client passtrayv1.OperatorClient) error {
		var err error
		answer, err = run(ctx, client, options)
		return err
	})
	if err != nil {
		return err
	}
	if given.Wait {
		if err := p.wait(answer.GetRevision()); err != nil {
			return err
		}
	}
	return p.print(answer, func(table *tableWriter) {
		table.row("EPOCH", "REVISION", "NUMBER", "REPEATED")
		table.row(answer.GetEpoch(), answer.GetRevision(), answer.GetNumber(), answer.GetRepeated())
	})
}

func (p *program) wait(revision uint64) error {
	return p.call(func(ctx context.Context, client passtrayv1.OperatorClient) error {
		_, err := client.WaitInForce(ctx, &passtrayv1.WaitInForceRequest{Revision: revision})
		return err
	})
}
