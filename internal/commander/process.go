package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lycheebarrow/lycheebarrow/internal/wire"
)

// process is a process of the system, as the process at -address knows it.
type process struct {
	Name                string `json:"name"`
	Role                string `json:"role"`
	DataCentre          string `json:"data_centre"`
	OperatorAddress     string `json:"operator_address"`
	ConfigurationNumber uint64 `json:"configuration_number"`
	Draining            bool   `json:"draining"`
	AgeMS               uint64 `json:"age_ms"`
}

func (c *commander) processesCommand(errOut io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name: "processes", ShortUsage: "lbctl processes", ShortHelp: "show the processes of the system, and the configuration number that each has in force",
		FlagSet: newFlagSet("lbctl processes", errOut),
		Exec: func(ctx context.Context, _ []string) error {
			list, err := c.readProcesses(ctx)
			if err != nil {
				return err
			}
			return c.print(list, func(w io.Writer) { printProcesses(list, w) })
		},
	}
}

func (c *commander) readProcesses(ctx context.Context) ([]process, error) {
	body, err := c.client.Read(ctx, "processes")
	if err != nil {
		return nil, err
	}
	var page struct {
		Processes []json.RawMessage `json:"processes"`
	}
	if err := json.Unmarshal(body, &page); err != nil {
		return nil, fmt.Errorf("read the processes: %w", err)
	}
	list := make([]process, 0, len(page.Processes))
	for _, x := range page.Processes {
		var r wire.ProcessRecord
		if err := protojson.Unmarshal(x, &r); err != nil {
			return nil, fmt.Errorf("read the record of a process: %w", err)
		}
		list = append(list, process{
			Name: r.GetName(), Role: r.GetRole(), DataCentre: r.GetDataCentre(), OperatorAddress: r.GetOperatorAddress(),
			ConfigurationNumber: r.GetConfigurationNumber(), Draining: r.GetDraining(), AgeMS: r.GetAgeMs(),
		})
	}
	slices.SortFunc(list, func(a, b process) int { return strings.Compare(a.Name, b.Name) })
	return list, nil
}

func printProcesses(list []process, w io.Writer) {
	rows := [][]string{{"PROCESS", "ROLE", "DATA CENTRE", "NUMBER", "STATE", "LAST HEARD"}}
	for _, p := range list {
		state := "running"
		if p.Draining {
			state = "draining"
		}
		age := (time.Duration(p.AgeMS) * time.Millisecond).String() + " ago"
		rows = append(rows, []string{p.Name, p.Role, p.DataCentre, fmt.Sprint(p.ConfigurationNumber), state, age})
	}
	writeTable(w, rows)
}
