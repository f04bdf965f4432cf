package settings

import (
	"os"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/hyssoprelay/hyssoprelay/internal/inifile"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// Flags are the flags of one role. The zero value is of no use; EntryFlags
// and AgentFlags give one.
type Flags struct {
	data  any
	group *flags.Group
}

// Grouper is a command or a group that flags can be added to.
type Grouper interface {
	AddGroup(shortDescription, longDescription string, data any) (*flags.Group, error)
}

// EntryFlags returns the flags of an entry.
func EntryFlags() *Flags { return &Flags{data: &entryFlags{}} }

// AgentFlags returns the flags of an agent.
func AgentFlags() *Flags { return &Flags{data: &agentFlags{}} }

// RelayFlags returns the flags of a relay.
func RelayFlags() *Flags { return &Flags{data: &relayFlags{}} }

// RankerFlags returns the flags of a ranker.
func RankerFlags() *Flags { return &Flags{data: &rankerFlags{}} }

// AddTo adds the flags to a command. Their values are there after the command
// line has been parsed.
func (f *Flags) AddTo(g Grouper) error {
	var err error
	f.group, err = g.AddGroup("Settings", "each wins over the same key of the settings file", f.data)
	return err
}

// document reads the file, if one was named, and puts the flags over it.
func (f *Flags) document() (*inifile.Document, error) {
	given := map[string]string{}
	if f.group != nil {
		collect(f.group, given)
	}
	var text []byte
	if file := given[settingsFlag]; file != "" {
		var err error
		text, err = os.ReadFile(file)
		if err != nil {
			return nil, Errors{result.New(result.SettingsFile, err.Error())}
		}
	}
	delete(given, settingsFlag)
	doc := inifile.Split(text)
	for name, value := range given {
		section, key, ok := strings.Cut(name, ".")
		if !ok {
			section, key = "process", name
		}
		doc.Set(section, key, value)
	}
	return doc, nil
}

// collect puts the values of the flags that were given into given.
func collect(g *flags.Group, given map[string]string) {
	for _, o := range g.Options() {
		if s, ok := o.Value().(string); ok && s != "" {
			given[o.LongNameWithNamespace()] = s
		}
	}
	for _, sub := range g.Groups() {
		collect(sub, given)
	}
}

// settingsFlag is the one flag that is no key.
const settingsFlag = "settings"

// commonFlags are the flags of every role. All are strings, because the same
// code reads them as reads the file.
type commonFlags struct {
	File              string `long:"settings" env:"HYSSOPRELAY_CONFIG" description:"settings file (INI)" value-name:"FILE"`
	Name              string `long:"name" description:"name of the process, unique in the system"`
	DataCentre        string `long:"dataCentre" description:"data centre of the process"`
	PeerAddress       string `long:"peerAddress" description:"IP:port for other processes of the system"`
	MetricsAddress    string `long:"metricsAddress" description:"IP:port for metrics without a token; none when absent"`
	PlatformAddresses string `long:"platformAddresses" description:"IP:port list of the platform's key-value service"`
	VMListAddress     string `long:"vmListAddress" description:"IP:port of the platform's list of VMs"`
	DrainTimeout      string `long:"drainTimeout" description:"how long a graceful stop waits for open requests"`
	LogFormat         string `long:"logFormat" description:"text or json"`

	TLS struct {
		Cert     string `long:"cert" description:"file of the certificate (PEM)"`
		Key      string `long:"key" description:"file of the certificate's key (PEM)"`
		CA       string `long:"ca" description:"file of the certificates that peers are checked by (PEM)"`
		Insecure string `long:"insecure" description:"true to go without TLS"`

		PlatformInsecure string `long:"platformInsecure" description:"true to reach the platform without TLS"`

		ReloadInterval string `long:"reloadInterval" description:"how often certificate files are looked at"`
	} `group:"TLS" namespace:"tls"`
}

type entryFlags struct {
	Common        commonFlags `group:"Process"`
	CallerAddress string      `long:"callerAddress" description:"IP:port for callers"`
	AdminAddress  string      `long:"adminAddress" description:"IP:port for operators"`

	Operator struct {
		TokenFile      string `long:"tokenFile" description:"file of the operator token"`
		ReloadInterval string `long:"reloadInterval" description:"how often the token file is looked at"`
	} `group:"Operator" namespace:"operator"`

	Limits struct {
		BodyBytes      string `long:"bodyBytes" description:"largest body of a request in bytes"`
		RequestTimeout string `long:"requestTimeout" description:"time for a request to arrive whole"`
		IdleTimeout    string `long:"idleTimeout" description:"time for which an idle connection is kept"`
		MaxConnections string `long:"maxConnections" description:"most connections of callers"`
		QueueLength    string `long:"queueLength" description:"most waiting requests; 0 takes the preset's"`
	} `group:"Limits" namespace:"limits"`
}

type agentFlags struct {
	Common commonFlags `group:"Process"`

	Endpoint struct {
		Name    string `long:"name" description:"name of the endpoint, which presets match"`
		Address string `long:"address" description:"IP:port of the endpoint"`
		Kind    string `long:"kind" description:"engine or plain"`
		Fencing string `long:"fencing" description:"checked when the endpoint refuses old fencing tokens, else ignored"`
	} `group:"Endpoint" namespace:"endpoint"`

	Rank struct {
		Group       string `long:"group" description:"name of the group of ranks; none when absent"`
		Peers       string `long:"peers" description:"IP:port list of the peer addresses of the group's agents, in the same order everywhere"`
		Ranks       string `long:"ranks" description:"ranks of the whole group"`
		Slots       string `long:"slots" description:"experts that a rank holds a layer"`
		Experts     string `long:"experts" description:"experts of a layer"`
		Layers      string `long:"layers" description:"layers with experts"`
		ExpertBytes string `long:"expertBytes" description:"bytes of one expert's weights in one layer"`
		StoreRate   string `long:"storeRate" description:"bytes a second that the weight store gives the group"`
		StageTime   string `long:"stageTime" description:"longest time for loading the weights of one plan"`
		PlanEvery   string `long:"planEvery" description:"time between two plans; 0 never rebalances"`
		Lookahead   string `long:"lookahead" description:"steps that the ranks may run without asking"`
		Tick        string `long:"tick" description:"time between two looks at the ranks"`
		LeaseTime   string `long:"leaseTime" description:"how long the leader's lease lasts"`
		SettleTime  string `long:"settleTime" description:"how long an order of an ended agent may still take effect"`
	} `group:"Ranks" namespace:"rank"`
}

type relayFlags struct {
	Common        commonFlags `group:"Process"`
	CallerAddress string      `long:"callerAddress" description:"IP:port for callers"`
	ReadyAddress  string      `long:"readyAddress" description:"IP:port for those who ask whether the process takes connections"`
	LineRate      string      `long:"lineRate" description:"what the VM's line takes, in Mbit/s"`

	Bounds struct {
		ChangeApply string `long:"changeApply" description:"how soon a change of the configuration must be in force"`
		KeyRevoke   string `long:"keyRevoke" description:"how soon a key that was taken away must be refused"`
		RetryShare  string `long:"retryShare" description:"share of requests that the fleet may send once more"`
		RetrySlack  string `long:"retrySlack" description:"requests beyond that in each window"`
		RetryWindow string `long:"retryWindow" description:"window of the retry budget"`
		Grace       string `long:"grace" description:"how long the process may take to stop"`
	} `group:"Bounds" namespace:"bounds"`
}

type rankerFlags struct {
	Common commonFlags `group:"Process"`

	Endpoint struct {
		Address string `long:"address" description:"IP:port of the model engine"`
		Service string `long:"service" description:"name of the engine's service"`
		Fencing string `long:"fencing" description:"checked when engines refuse old fencing tokens, else ignored"`
	} `group:"Endpoint" namespace:"endpoint"`
}
