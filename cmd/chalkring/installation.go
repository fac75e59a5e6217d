package main

import (
	"context"
	"io"
	"log/slog"
	"time"

	"chalkring/coordinator/plan"

	"github.com/lmittmann/tint"

	"chalkring/cluster/peerprotocol"
	"chalkring/config"
	"chalkring/coordinator"
	"chalkring/internal/scheduler"
	"chalkring/opensearch/frontend"
)

// newLogger returns the logger that the installation file describes.
func newLogger(logging config.Log, writer io.Writer) *slog.Logger {
	var minLevel slog.Level
	_ = minLevel.UnmarshalText([]byte(logging.Level)) // config.Read accepts only levels that it knows
	if logging.Format == "terminal" {
		return slog.New(tint.NewTextHandler(writer, &tint.Options{Level: minLevel, TimeFormat: time.TimeOnly + ".000"}))
	}
	return coordinator.NewLogger(writer, logging.Format == "json", minLevel)
}

// applySettings returns the plan with the installation file's settings and shadow settings.
func applySettings(file *config.File, sitePlan *plan.Plan) (*plan.Plan, error) {
	site := sitePlan.ResidencySite()
	if err := file.CheckAgainstPlan(site.Classes, site.Tenants); err != nil {
		return nil, err
	}
	sitePlan, err := sitePlan.WithSettings(config.FlattenSettings(file.Settings))
	if err != nil || file.Shadow == nil {
		return sitePlan, err
	}
	return sitePlan.WithShadowSettings(config.FlattenSettings(file.Shadow.Settings))
}

// openPeerOptions loads the certificates and opens the listener that the exchange with peers needs; nil where the
// installation file has no peers. defaultName is this instance's name where the file has none.
func openPeerOptions(ctx context.Context, file *config.File, defaultName string, log *slog.Logger) (*coordinator.PeerOptions, error) {
	peers := file.Peers
	if peers == nil {
		return nil, nil
	}
	options := &coordinator.PeerOptions{
		Name: defaultName, Location: peers.Locality, AllowedPeers: peers.AllowedPeers, RefreshInterval: peers.RefreshInterval,
		Budgets: map[string]scheduler.Budget{},
	}
	if peers.Name != "" {
		options.Name = peers.Name
	}
	for kind, budget := range file.Background {
		options.Budgets[kind] = workBudget(budget)
	}
	for _, target := range peers.PollTargets {
		options.PollTargets = append(options.PollTargets, coordinator.PeerAddress{Name: target.Name, Addr: target.Address})
	}
	var err error
	if options.Keys, err = loadCredentials(peers.TLS, func(err error) { log.Error("keys_failed", "error", err) }); err != nil {
		return nil, err
	}
	if peers.Listen != "" {
		options.Listener, err = listen(ctx, peers.Listen, log)
	}
	return options, err
}

// openPersistence starts to open the store of this process; nil where the installation file names none. The cluster's
// store also serves as the process's own.
func openPersistence(file *config.File, sitePlan *plan.Plan, log *slog.Logger) *coordinator.Persistence {
	path, exclusive := file.Store, true
	if cluster := file.Cluster; cluster != nil && cluster.StoreFile != "" && (path == "" || path == cluster.StoreFile) {
		path, exclusive = cluster.StoreFile, false
	}
	if path == "" {
		return nil
	}
	budget := workBudget(file.Background["keep"])
	return coordinator.NewPersistence(path, exclusive, budget, sitePlan, coordinator.SystemClock{}, log)
}

func workBudget(budget config.WorkBudget) scheduler.Budget {
	return scheduler.Budget{MaxConcurrent: budget.MaxConcurrent, BytesPerSecond: budget.BytesPerSecond, CPUPerSecond: budget.CPUPerSecond}
}

// openFrontends opens the listener of the OpenSearch-style frontend, if the installation file has one.
func openFrontends(ctx context.Context, file *config.File, log *slog.Logger) ([]coordinator.Frontend, error) {
	opensearch := file.OpenSearch
	if opensearch == nil {
		return nil, nil
	}
	server := &frontend.Server{}
	for _, index := range opensearch.Indices {
		server.Indices = append(server.Indices, frontend.Index{
			Name: index.Name, SearchType: index.Type, Tenant: index.Tenant, Blocks: index.Blocks,
			Placement: index.Placement,
		})
	}
	var err error
	if tls := opensearch.TLS; tls != nil {
		if server.TLSConfig, err = frontend.LoadTLS(tls.Certificate, tls.Key, tls.Authorities); err != nil {
			return nil, err
		}
	}
	if server.Listener, err = listen(ctx, opensearch.Listen, log); err != nil {
		return nil, err
	}
	return []coordinator.Frontend{server}, nil
}

// loadCredentials loads the certificates for peers, nil where there are none. reportError is called when files that
// change later cannot be used.
func loadCredentials(tls *config.TLS, reportError func(err error)) (*peerprotocol.Credentials, error) {
	if tls == nil {
		return nil, nil
	}
	return peerprotocol.NewCredentials(tls.Certificate, tls.Key, tls.Authorities, reportError)
}
