package cli

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"hawthornshore.example/operatorapi"
)

type configApplyCommand struct {
	Dir           string        `arg:"" help:"Folder of INI files."`
	ExpectVersion uint64        `required:"" placeholder:"N" help:"Version in force that the change is based on, as printed by config diff."`
	OperationID   string        `name:"operation-id" help:"ID of this change. Repeat it to resend after a lost answer: the change is applied at most once. Generated if omitted."`
	Operator      string        `env:"USER" default:"unknown" help:"Operator who makes the change; recorded in the history. Defaults to the user name."`
	Wait          bool          `help:"Wait until all live members run the new version."`
	WaitTimeout   time.Duration `default:"15s" help:"Timeout of --wait."`
}

// Help implements kong.HelpProvider.
func (c *configApplyCommand) Help() string {
	return `Replaces all classes and tenants by those of the folder, if the version in force is still the expected one. If another change was applied first, nothing is changed, the exit code is 4 and the winner's change is printed: review it, run "config diff" again and apply with the new version.

If the answer is lost (exit code 5), run the command again with the printed --operation-id: it returns the first answer or applies the change.

Example:
  hawthornctl config apply examples/resin/system --expect-version 4 --wait`
}

// Run applies the configuration in the folder.
func (c *configApplyCommand) Run(e *environment) error {
	config, _, err := loadSystem(c.Dir)
	if err != nil {
		return err
	}
	request := operatorapi.ApplyRequest{
		ExpectedVersion: c.ExpectVersion,
		OperationID:     c.OperationID,
		Operator:        c.Operator,
		Classes:         config.Classes,
		Tenants:         config.Tenants,
	}
	if request.OperationID == "" {
		request.OperationID = uuid.Must(uuid.NewV7()).String()
	}
	if err := request.Check(); err != nil {
		return withCode(ExitUsage, "%v", err)
	}
	reply, err := e.client.Apply(e.ctx, request)
	if err != nil {
		return annotateApplyError(err, request.OperationID)
	}
	if err := c.print(e, request.OperationID, reply); err != nil {
		return err
	}
	if reply.Result == operatorapi.ApplyConflict {
		return conflictError(c.ExpectVersion, reply)
	}
	if c.Wait {
		return c.wait(e, reply.Version)
	}
	return nil
}

// annotateApplyError adds whether a failed apply may have changed anything.
func annotateApplyError(err error, operationID string) error {
	var rejected *operatorapi.ErrorReply
	if errors.As(err, &rejected) && rejected.Status < http.StatusInternalServerError {
		return errors.Annotate(err, "nothing was changed")
	}
	return errors.Annotatef(err, "the change may or may not be in force; to find out, add --operation-id %s and run the command again", operationID)
}

func (c *configApplyCommand) print(e *environment, operationID string, reply operatorapi.ApplyReply) error {
	if e.print.json {
		return e.print.object(reply)
	}
	err := e.print.line("result=%s version=%d operation_id=%s replayed=%t", reply.Result, reply.Version, operationID, reply.Replayed)
	if err != nil || reply.Conflict == nil || len(reply.Conflict.Changes) == 0 {
		return err
	}
	return e.print.table([]string{"SECTION", "KEY", "EXPECTED", "IN-FORCE"}, changeRows(reply.Conflict.Changes))
}

func conflictError(expected uint64, reply operatorapi.ApplyReply) error {
	if reply.Conflict == nil {
		return withCode(ExitConflict, "nothing was changed: version %d was expected, %d is in force", expected, reply.Version)
	}
	winner := reply.Conflict.Winner
	return withCode(ExitConflict, "nothing was changed: version %d was expected, %d is in force; %s applied version %d at %s (operation %s)",
		expected, reply.Version, winner.Operator, winner.Version, formatTime(winner.AppliedUnixMS), winner.OperationID)
}

// membersPollInterval is how often --wait queries the members.
const membersPollInterval = 200 * time.Millisecond

// wait waits until all live members run the version.
func (c *configApplyCommand) wait(e *environment, version uint64) error {
	deadline := time.Now().Add(c.WaitTimeout)
	for {
		members, err := e.client.Members(e.ctx)
		if err != nil {
			return errors.Annotatef(err, "version %d is applied, but the members could not be queried", version)
		}
		outdated, notAlive := outdatedMembers(members, version)
		if len(outdated) == 0 {
			for _, name := range notAlive {
				e.warn("skipped member %s, which is not alive", name)
			}
			return c.reportWait(e, version, len(members.Members)-len(notAlive))
		}
		if time.Now().After(deadline) {
			return withCode(ExitWaitTimeout, "version %d is applied, but not yet in force at: %s", version, strings.Join(outdated, ", "))
		}
		select {
		case <-e.ctx.Done():
			return errors.Trace(e.ctx.Err())
		case <-time.After(membersPollInterval):
		}
	}
}

func (c *configApplyCommand) reportWait(e *environment, version uint64, members int) error {
	text := fmt.Sprintf("in_force version=%d members=%d", version, members)
	if e.print.json {
		_, err := fmt.Fprintln(e.streams.Err, text) // stdout has only the JSON object
		return errors.Trace(err)
	}
	return e.print.line("%s", text)
}

// outdatedMembers returns the live members with an older version and the members
// that are not alive.
func outdatedMembers(members operatorapi.Members, version uint64) (outdated, notAlive []string) {
	for _, member := range members.Members {
		switch {
		case member.State == operatorapi.MemberDead || member.State == operatorapi.MemberLeft:
			notAlive = append(notAlive, member.Instance)
		case member.ConfigVersion < version:
			outdated = append(outdated, fmt.Sprintf("%s (version %d)", member.Instance, member.ConfigVersion))
		}
	}
	return outdated, notAlive
}

// AfterApply replaces an empty user name, as found in some containers.
func (c *configApplyCommand) AfterApply() error {
	if c.Operator == "" {
		c.Operator = "uid-" + fmt.Sprint(os.Getuid())
	}
	return nil
}
