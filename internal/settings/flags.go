package settings

import (
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/hyssoprelay/hyssoprelay/internal/inifile"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

// option is one key of the settings that has a flag.
type option struct {
	section string
	key     string
	text    string
	value   string
}

func (o option) flag() string {
	if o.section == "process" {
		return o.key
	}
	return o.section + "." + o.key
}

// Flags are the flags of one role.
type Flags struct {
	file    string
	options []option
}

// EntryFlags returns the flags of an entry.
func EntryFlags() *Flags { return &Flags{options: append([]option(nil), entryOptions...)} }

// AgentFlags returns the flags of an agent.
func AgentFlags() *Flags { return &Flags{options: append([]option(nil), agentOptions...)} }

// AddTo adds the flags to a command or group. Their values are there after the
// command line has been parsed.
func (f *Flags) AddTo(g *flags.Group) {
	g.AddOption(&flags.Option{LongName: "settings", Description: "settings file (INI)", ValueName: "FILE"}, &f.file)
	for i := range f.options {
		o := &f.options[i]
		g.AddOption(&flags.Option{LongName: o.flag(), Description: o.text, ValueName: "VALUE"}, &o.value)
	}
}

// document reads the file, if one was named, and puts the flags over it.
func (f *Flags) document() (*inifile.Document, error) {
	var text []byte
	if f.file != "" {
		var err error
		text, err = os.ReadFile(f.file)
		if err != nil {
			return nil, Errors{result.New(result.SettingsFile, err.Error())}
		}
	}
	doc := inifile.Split(text)
	for _, o := range f.options {
		if o.value != "" {
			doc.Set(o.section, o.key, o.value)
		}
	}
	return doc, nil
}

// commonOptions are the options of every role.
var commonOptions = []option{
	{section: "process", key: "name", text: "name of the process, unique in the system"},
	{section: "process", key: "dataCentre", text: "data centre of the process"},
	{section: "process", key: "peerAddress", text: "IP:port for other processes of the system"},
	{section: "process", key: "metricsAddress", text: "IP:port for metrics without a token; none when absent"},
	{section: "process", key: "platformAddresses", text: "IP:port list of the platform's key-value service"},
	{section: "process", key: "vmListAddress", text: "IP:port of the platform's list of VMs"},
	{section: "process", key: "drainTimeout", text: "how long a graceful stop waits for open requests"},
	{section: "process", key: "logFormat", text: "text or json"},
	{section: "tls", key: "cert", text: "file of the certificate (PEM)"},
	{section: "tls", key: "key", text: "file of the certificate's key (PEM)"},
	{section: "tls", key: "ca", text: "file of the certificates that peers are checked by (PEM)"},
	{section: "tls", key: "insecure", text: "true to go without TLS"},
	{section: "tls", key: "reloadInterval", text: "how often certificate files are looked at"},
}

var entryOptions = append([]option{
	{section: "process", key: "callerAddress", text: "IP:port for callers"},
	{section: "process", key: "adminAddress", text: "IP:port for operators"},
	{section: "operator", key: "tokenFile", text: "file of the operator token"},
	{section: "operator", key: "reloadInterval", text: "how often the token file is looked at"},
	{section: "limits", key: "bodyBytes", text: "largest body of a request in bytes"},
	{section: "limits", key: "headerTimeout", text: "time for a request's headers to arrive"},
	{section: "limits", key: "requestTimeout", text: "time for a request to arrive whole"},
	{section: "limits", key: "idleTimeout", text: "time for which an idle connection is kept"},
	{section: "limits", key: "maxConnections", text: "most connections of callers"},
	{section: "limits", key: "queueLength", text: "most waiting requests; 0 takes the preset's"},
}, commonOptions...)

var agentOptions = append([]option{
	{section: "endpoint", key: "name", text: "name of the endpoint, which presets match"},
	{section: "endpoint", key: "address", text: "IP:port of the endpoint"},
	{section: "endpoint", key: "kind", text: "engine or plain"},
	{section: "endpoint", key: "fencing", text: "checked when the endpoint refuses old fencing tokens, else ignored"},
}, commonOptions...)
