package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/lycheebarrow/lycheebarrow"
	"github.com/lycheebarrow/lycheebarrow/internal/validator"
)

func (c *commander) drainCommand(errOut io.Writer) *ffcli.Command {
	const usage = "lbctl drain -author WHO -reason WHY [-undo | -unlisted] INSTANCE"
	p := lycheebarrow.Patch{ID: uuid.NewString()}
	set := newFlagSet("lbctl drain", errOut)
	set.StringVar(&p.Author, "author", "", "`name` of the person who makes the change")
	set.StringVar(&p.Reason, "reason", "", "`reason` for the change")
	set.StringVar(&p.ID, "id", p.ID, "patch `id`; to repeat the patch safely, give the same id again")
	undo := set.Bool("undo", false, "end the drain, so that the instance takes new work again")
	unlisted := set.Bool("unlisted", false, "accept the name of an instance that is not listed yet")
	return &ffcli.Command{
		Name: "drain", ShortUsage: usage, FlagSet: set,
		ShortHelp: "patch the configuration so that an instance gets no new work; requests in flight finish",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 || p.Author == "" || p.Reason == "" || strings.TrimSpace(args[0]) == "" {
				return usageError(usage)
			}
			configuration, err := c.client.Configuration(ctx)
			if err != nil {
				return err
			}
			if !*undo && !*unlisted {
				if err := c.requireInstance(ctx, configuration, args[0]); err != nil {
					return err
				}
			}
			if p.Base, err = strconv.ParseUint(configuration.Number, 10, 64); err != nil {
				return fmt.Errorf("read the configuration number of the process: %w", err)
			}
			p.Merge, err = drainPatch(args[0], *undo)
			if err != nil {
				return err
			}
			return c.sendPatch(ctx, p)
		},
	}
}

// drainPatch returns the merge patch that drains an instance, or with undo the one
// that ends the drain.
func drainPatch(instance string, undo bool) (json.RawMessage, error) {
	var value any = validator.Instance{Draining: true}
	if undo {
		value = nil
	}
	return json.Marshal(map[string]any{"instances": map[string]any{instance: value}})
}

// requireInstance returns a usage error if no instance and no upstream of a service
// has the name. A patch with a mistyped name would be accepted and drain nothing.
func (c *commander) requireInstance(ctx context.Context, configuration lycheebarrow.Configuration, name string) error {
	d, err := validator.ParseRecorded([]byte(configuration.Document))
	if err != nil {
		return err
	}
	for _, s := range d.Services {
		if _, ok := s.Upstreams[name]; ok {
			return nil
		}
	}
	page, err := c.readInstancePage(ctx)
	if err != nil {
		return err
	}
	for _, i := range page.Instances {
		if i.Name == name {
			return nil
		}
	}
	return usageError("no instance or upstream %q is known; see lbctl instances, or add -unlisted", name)
}
