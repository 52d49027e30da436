package ctl

import (
	"fmt"
	"net/netip"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	passtrayv1 "github.com/passtray/passtray/api/passtray/v1"
)

type tableWriter struct {
	writer *tabwriter.Writer
}

func (t *tableWriter) row(cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, cell := range cells {
		texts = append(texts, fmt.Sprint(cell))
	}
	_, _ = fmt.Fprintln(t.writer, strings.Join(texts, "\t"))
}

// print writes a message as JSON, or lets table lay it out.
func (p *program) print(message proto.Message, table func(*tableWriter)) error {
	if p.Output == "json" {
		encoded, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(p.out, string(encoded))
		return err
	}
	writer := tabwriter.NewWriter(p.out, 0, 4, 2, ' ', 0)
	table(&tableWriter{writer})
	return writer.Flush()
}

func (p *program) printConfiguration(configuration *passtrayv1.Configuration) error {
	return p.print(configuration, func(table *tableWriter) {
		table.row(fmt.Sprintf("epoch %d, revision %d", configuration.GetEpoch(), configuration.GetRevision()))
		table.row()
		table.row("SERVICE", "NUMBER", "ADDRESS", "PROTOCOL", "PRIORITY", "FLOWS/S", "CONNECTIONS", "STATE")
		for _, service := range configuration.GetServices() {
			state := "active"
			if service.GetRetired() {
				state = "retired"
			}
			table.row(service.GetName(), service.GetNumber(), service.GetAddress(), short(service.GetProtocol()),
				short(service.GetPriority()), service.GetLimits().GetNewFlowsPerSecond(),
				service.GetLimits().GetConnectionsPerTarget(), state)
		}
		table.row()
		table.row("SERVICE", "TARGET", "NUMBER", "ADDRESS", "ZONE", "WEIGHT", "STATE")
		for _, target := range configuration.GetTargets() {
			table.row(target.GetService(), target.GetName(), target.GetNumber(), target.GetAddress(),
				target.GetZone(), target.GetWeight(), short(target.GetState()))
		}
	})
}

func (p *program) printStatus(answer *passtrayv1.Status) error {
	return p.print(answer, func(table *tableWriter) {
		table.row(fmt.Sprintf("epoch %d, revision %d in force on %d/%d daemons",
			answer.GetEpoch(), answer.GetRevision(), answer.GetInForce(), len(answer.GetDaemons())))
		table.row()
		table.row("DAEMON", "ZONE", "ANSWERED", "EPOCH", "REVISION", "ROLE")
		for _, daemon := range answer.GetDaemons() {
			role := "member"
			switch {
			case daemon.GetLeader():
				role = "leader"
			case daemon.GetVoter():
				role = "voter"
			}
			table.row(daemon.GetAddress(), daemon.GetZone(), daemon.GetAnswered(), daemon.GetEpoch(), daemon.GetRevision(), role)
		}
	})
}

// short turns PRIORITY_CRITICAL into critical.
func short(value fmt.Stringer) string {
	text := value.String()
	return strings.ToLower(text[strings.LastIndex(text, "_")+1:])
}

// long finds an enumeration's value by its short name.
func long(field, text, prefix string, values map[string]int32) (int32, error) {
	value, known := values[prefix+strings.ToUpper(text)]
	if !known || value == 0 {
		return 0, usageError("%s: %q must be one of %s", field, text, choices(prefix, values))
	}
	return value, nil
}

func choices(prefix string, values map[string]int32) string {
	names := make([]string, len(values))
	for name, value := range values {
		names[value] = strings.ToLower(strings.TrimPrefix(name, prefix))
	}
	return strings.Join(names[1:], ", ")
}

func parseAddress(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return address, usageError("--daemon: %q must be an IP address and a port, such as 192.0.2.1:7001", text)
	}
	return address, nil
}
