package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lycheebarrow/lycheebarrow/internal/operator"
	"github.com/lycheebarrow/lycheebarrow/internal/validator"
	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// writeTable writes rows of cells, aligned in columns.
func writeTable(w io.Writer, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		fmt.Fprintln(t, strings.Join(r, "\t"))
	}
	_ = t.Flush()
}

func (c *commander) groupsCommand(errOut io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name: "groups", ShortUsage: "lbctl groups", ShortHelp: "show the placed replicas of every group",
		FlagSet: newFlagSet("lbctl groups", errOut), Exec: c.showGroups,
	}
}

func (c *commander) showGroups(ctx context.Context, _ []string) error {
	body, err := c.client.Read(ctx, "placements")
	if err != nil {
		return err
	}
	var page struct {
		Placements []json.RawMessage `json:"placements"`
	}
	if err := json.Unmarshal(body, &page); err != nil {
		return fmt.Errorf("read the placements: %w", err)
	}
	rows := [][]string{{"GROUP", "REPLICA", "STATE", "DATA CENTRE", "MODEL", "VERSION", "GENERATION", "MEMBERS"}}
	for _, x := range page.Placements {
		var p wire.Placement
		if err := protojson.Unmarshal(x, &p); err != nil {
			return fmt.Errorf("read a placement: %w", err)
		}
		for _, r := range p.GetReplicas() {
			rows = append(rows, []string{
				r.GetGroup(), r.GetName(), stateName(r.GetState()), p.GetDataCentre(), r.GetModel(), r.GetVersion(),
				fmt.Sprint(r.GetGeneration()), strings.Join(r.GetMembers(), ","),
			})
		}
	}
	slices.SortStableFunc(rows[1:], func(a, b []string) int { return strings.Compare(a[1], b[1]) })
	return c.print(body, func(w io.Writer) { writeTable(w, rows) })
}

// stateName returns the name of the state in lower case, without its enum prefix.
func stateName(s wire.ReplicaState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "REPLICA_STATE_"))
}

func (c *commander) instancesCommand(errOut io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name: "instances", ShortUsage: "lbctl instances", ShortHelp: "show every instance and the result of its latest probe",
		FlagSet: newFlagSet("lbctl instances", errOut), Exec: c.showInstances,
	}
}

func (c *commander) showInstances(ctx context.Context, _ []string) error {
	page, err := c.readInstancePage(ctx)
	if err != nil {
		return err
	}
	rows := [][]string{{"INSTANCE", "KIND", "DATA CENTRE", "DOMAIN", "ADDRESS", "STATE", "REPLICA", "GENERATION", "LAST SEEN"}}
	for _, i := range page.Instances {
		rows = append(rows, []string{
			i.Name, i.Kind, i.DataCentre, i.Domain, i.Address, instanceState(i), orDash(i.Replica),
			fmt.Sprint(i.Generation), lastSeen(i),
		})
	}
	return c.print(page, func(w io.Writer) { writeTable(w, rows) })
}

func (c *commander) readInstancePage(ctx context.Context) (operator.InstancePage, error) {
	var page operator.InstancePage
	body, err := c.client.Read(ctx, "instances")
	if err != nil {
		return page, err
	}
	if err := json.Unmarshal(body, &page); err != nil {
		return page, fmt.Errorf("read the instances: %w", err)
	}
	return page, nil
}

// instanceState describes the state of an instance in a few words.
func instanceState(i operator.Instance) string {
	state := i.State
	switch {
	case !i.Probed:
		state = "not probed"
	case i.ProbeFailed:
		state = "silent"
	}
	if !i.Listed {
		state += ", not in the platform's list"
	}
	if i.Leaving {
		state += ", leaving"
	}
	if i.Draining {
		state += ", draining"
	}
	return state
}

// lastSeen returns how long ago the latest answered probe was sent, or "-" if the
// instance is not probed.
func lastSeen(i operator.Instance) string {
	if !i.Probed {
		return "-"
	}
	return (time.Duration(i.AgeMS) * time.Millisecond).String() + " ago"
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func (c *commander) upstreamsCommand(errOut io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name: "upstreams", ShortUsage: "lbctl upstreams", ShortHelp: "show the upstreams of the plain services",
		FlagSet: newFlagSet("lbctl upstreams", errOut), Exec: c.showUpstreams,
	}
}

func (c *commander) showUpstreams(ctx context.Context, _ []string) error {
	configuration, err := c.client.Configuration(ctx)
	if err != nil {
		return err
	}
	d, err := validator.ParseRecorded([]byte(configuration.Document))
	if err != nil {
		return err
	}
	rows := [][]string{{"SERVICE", "UPSTREAM", "DATA CENTRE", "ADDRESS", "CALLS", "TIMEOUT", "TAKES WORK"}}
	for _, n := range slices.Sorted(maps.Keys(d.Services)) {
		s := d.Services[n]
		calls := "may repeat"
		if s.Unrepeatable {
			calls = "at most once"
		}
		for _, u := range slices.Sorted(maps.Keys(s.Upstreams)) {
			takes := "yes"
			if d.Instances[u].Draining {
				takes = "no, draining"
			}
			rows = append(rows, []string{n, u, s.Upstreams[u].DataCentre, s.Upstreams[u].Address, calls, s.Timeout().String(), takes})
		}
	}
	return c.print(d.Services, func(w io.Writer) { writeTable(w, rows) })
}
