package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"chalkring/cluster/peerprotocol"
	"chalkring/config"
)

type peersCommand struct {
	Installation string `required:"" help:"YAML file that names the peers." type:"existingfile" placeholder:"FILE"`
	Name         string `help:"Name to ask under, where the file has none." default:""`
}

// Run prints a table with the status of each peer that the installation file names.
func (c *peersCommand) Run() error {
	file, err := config.Read(c.Installation)
	if err != nil {
		return err
	}
	if file.Peers == nil || len(file.Peers.PollTargets) == 0 {
		return fmt.Errorf("%s names no peers to ask", c.Installation)
	}
	if file.Peers.Name != "" {
		c.Name = file.Peers.Name
	}
	credentials, err := loadCredentials(file.Peers.TLS, func(err error) { fmt.Fprintln(os.Stderr, err) })
	if err != nil {
		return err
	}
	var rows strings.Builder
	fmt.Fprintln(&rows, "PEER\tADDRESS\tPLACE\tUP\tLIST\tHOSTS\tTOLD\tPUT OFF\tLOAD\tJOBS\tHELD\tITS PEERS")
	unreachable := 0
	for _, target := range file.Peers.PollTargets {
		client := peerprotocol.Client{
			PeerName: target.Name, Addr: target.Address, LocalName: c.Name,
			Dial: (&net.Dialer{}).DialContext, Credentials: credentials,
		}
		status, err := client.FetchStatus(context.Background())
		if err != nil {
			unreachable++
			fmt.Fprintf(&rows, "%s\t%s\t%v\n", target.Name, target.Address, err)
			continue
		}
		rows.WriteString(peerRow(target.Name, target.Address, status))
	}
	printTable(rows.String())
	if unreachable > 0 {
		return exitCodeError(1)
	}
	return nil
}

func peerRow(name, address string, status peerprotocol.Status) string {
	var peers []string
	for _, peer := range status.Peers {
		outcome := peer.LastOutcome
		if outcome == "" {
			outcome = "not asked"
		}
		peers = append(peers, peer.Name+":"+outcome)
	}
	uptime := (time.Duration(status.UptimeMs) * time.Millisecond).Round(time.Second)
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d%%\t%d+%d\t%d\t%s\n", name, address, status.Locality,
		uptime, status.ListVersion, status.HostCount, status.ReportsServed, status.ReportsDeferred,
		status.LoadPermille/10, status.RunningJobs, status.WaitingJobs, status.DeferredJobs, strings.Join(peers, " "))
}

// printTable aligns the columns of rows, which are separated by tabs. Output that nobody reads is no failure, as with
// fmt.Print.
func printTable(rows string) {
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = table.Write([]byte(rows))
	_ = table.Flush()
}
