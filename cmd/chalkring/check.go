package main

import (
	"fmt"
	"os"
	"path/filepath"

	"chalkring/coordinator/plan"

	"chalkring/cluster/gossip"
	"chalkring/config"
	"chalkring/control/fanout"
	"chalkring/control/residency"
	"chalkring/endpoints/hostfile"
	"chalkring/internal/advice"
)

type checkCommand struct {
	Files checkFilesCommand `cmd:"" default:"withargs" help:"Plans (.json), installation files and files of contracts (.yaml); contracts are held against the plan."`
	Hosts checkHostsCommand `cmd:"" help:"Host files."`
}

type checkFilesCommand struct {
	Files []string `arg:"" type:"existingfile" help:"Files to look at."`
}

const usable = "can be used" // the result of a check without a fault

// Run checks each file as the command serve would, and prints a line for each.
func (c *checkFilesCommand) Run() error {
	failed := false
	sitePlan := c.findPlan()
	for _, name := range c.Files {
		result, err := checkFile(name, sitePlan)
		if err != nil {
			failed = true
			fmt.Fprintln(os.Stderr, advice.Describe(err))
			continue
		}
		fmt.Println(name+":", result)
	}
	if failed {
		return exitCodeError(1)
	}
	return nil
}

// findPlan returns the first usable plan among the files, which the others are checked against, or nil.
func (c *checkFilesCommand) findPlan() *plan.Plan {
	for _, name := range c.Files {
		if filepath.Ext(name) != ".json" {
			continue
		}
		text, err := os.ReadFile(name)
		if err != nil {
			continue
		}
		if sitePlan, err := plan.Parse(text); err == nil {
			return sitePlan
		}
	}
	return nil
}

// checkFile checks a file by its extension and content. sitePlan may be nil.
func checkFile(name string, sitePlan *plan.Plan) (result string, err error) {
	switch filepath.Ext(name) {
	case ".jsonl":
		_, err = fanout.ReadRegionFile(name)
	case ".yaml", ".yml":
		return checkYAMLFile(name, sitePlan)
	default:
		err = checkPlanFile(name)
	}
	return usable, err
}

func checkYAMLFile(name string, sitePlan *plan.Plan) (result string, err error) {
	if fanout.IsRegionFile(name) {
		_, err = fanout.ReadRegionFile(name)
		return usable, err
	}
	if text, err := hostfile.ReadText(name); err == nil && residency.IsPolicyFile(text) {
		return checkPolicyFile(name, text, sitePlan)
	}
	return usable, checkInstallationFile(name, sitePlan)
}

func checkPlanFile(name string) error {
	text, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	if _, err = plan.Parse(text); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// checkInstallationFile checks an installation file and the files that it names.
func checkInstallationFile(name string, sitePlan *plan.Plan) error {
	file, err := config.Read(name)
	if err != nil {
		return err
	}
	if file.Peers != nil {
		if _, err := loadCredentials(file.Peers.TLS, nil); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	if file.Cluster != nil && file.Cluster.KeyFile != "" {
		if _, _, err := gossip.ReadKeyFile(file.Cluster.KeyFile); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	if sitePlan != nil {
		site := sitePlan.ResidencySite()
		if err := file.CheckAgainstPlan(site.Classes, site.Tenants); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	if hasRollout(file) {
		if err := checkChangeFile(file); err != nil {
			return err
		}
	}
	if file.Cluster == nil || file.Cluster.ResidencyFile == "" {
		return nil
	}
	text, err := hostfile.ReadText(file.Cluster.ResidencyFile)
	if err != nil {
		return err
	}
	_, err = checkPolicyFile(file.Cluster.ResidencyFile, text, sitePlan)
	return err
}
