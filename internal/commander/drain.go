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

func (c *commander) drain(faults io.Writer) *ffcli.Command {
	const use = "lbctl drain -author WHO -reason WHY [-undo | -unlisted] INSTANCE"
	p := lycheebarrow.Patch{ID: uuid.NewString()}
	set := flags("lbctl drain", faults)
	set.StringVar(&p.Author, "author", "", "who makes the change")
	set.StringVar(&p.Reason, "reason", "", "why, in plain words")
	set.StringVar(&p.ID, "id", p.ID, "patch `id`; give the same again to repeat safely")
	undo := set.Bool("undo", false, "let the instance take work again")
	unlisted := set.Bool("unlisted", false, "drain an instance that nothing lists yet")
	return &ffcli.Command{
		Name: "drain", ShortUsage: use, FlagSet: set,
		ShortHelp: "give an instance no new work, by a configuration patch; work under way finishes",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 || p.Author == "" || p.Reason == "" || strings.TrimSpace(args[0]) == "" {
				return usage(use)
			}
			x, err := c.client.Configuration(ctx)
			if err != nil {
				return err
			}
			if !*undo && !*unlisted {
				if err := c.requireInstance(ctx, x, args[0]); err != nil {
					return err
				}
			}
			if p.Base, err = strconv.ParseUint(x.Number, 10, 64); err != nil {
				return fmt.Errorf("the process runs no readable number: %w", err)
			}
			p.Merge, err = drainPatch(args[0], *undo)
			if err != nil {
				return err
			}
			return c.send(ctx, p)
		},
	}
}

// drainPatch returns the merge patch that drains an instance, or takes it back.
func drainPatch(instance string, undo bool) (json.RawMessage, error) {
	var mark any = validator.Instance{Draining: true}
	if undo {
		mark = nil
	}
	return json.Marshal(map[string]any{"instances": map[string]any{instance: mark}})
}

// requireInstance returns a usage error where neither the instances nor the
// upstreams of services have the name, so that a slip doesn't pass for a drain.
func (c *commander) requireInstance(ctx context.Context, x lycheebarrow.Configuration, name string) error {
	d, err := validator.Parse([]byte(x.Document))
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
	return usage("no instance or upstream %q is known; see lbctl instances, or add -unlisted", name)
}
