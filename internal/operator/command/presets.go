package command

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/hyssoprelay/hyssoprelay/internal/inifile"
	"github.com/hyssoprelay/hyssoprelay/internal/operator"
	"github.com/hyssoprelay/hyssoprelay/internal/operator/preset"
	"github.com/hyssoprelay/hyssoprelay/pkg/result"
)

type presetCommands struct {
	Check  checkCommand  `command:"check" description:"look for faults in preset files, without any entry"`
	Put    putCommand    `command:"put" description:"write a preset"`
	List   listCommand   `command:"list" description:"list presets"`
	Show   showCommand   `command:"show" description:"print a preset"`
	Switch switchCommand `command:"switch" description:"put a preset into force"`
}

func newPresetCommands(p *Program) *presetCommands {
	return &presetCommands{
		Check:  checkCommand{program: p},
		Put:    putCommand{program: p},
		List:   listCommand{program: p},
		Show:   showCommand{program: p},
		Switch: switchCommand{program: p},
	}
}

// adminPath returns the path of an order on something with a name.
func adminPath(kind, name, order string) (string, error) {
	if !inifile.ValidName(name) {
		return "", usageError{fmt.Sprintf("%q is no name: %s", name, inifile.NameRule)}
	}
	path := "/admin/" + kind + "/" + name
	if order != "" {
		path += "/" + order
	}
	return path, nil
}

type checkCommand struct {
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`

	program *Program
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	broken := 0
	for _, f := range c.Args.Files {
		p, err := readPreset(f)
		if err != nil {
			broken++
			c.program.fail(err)
			continue
		}
		c.program.print(fmt.Sprintf("%s: preset %s has no faults", f, p.Name()))
	}
	if broken > 0 {
		return fmt.Errorf("%d of %d files are refused", broken, len(c.Args.Files))
	}
	return nil
}

// readPreset reads a file, which must hold a preset without faults.
func readPreset(file string) (*preset.Preset, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, refuse(result.PresetInvalid, err.Error())
	}
	p, faults := preset.Parse(text)
	if p != nil {
		return p, nil
	}
	r := refuse(result.PresetInvalid, fmt.Sprintf("%s: %d faults", file, len(faults)))
	for _, f := range faults {
		r.reply.Faults = append(r.reply.Faults, operator.FaultView{
			Section: f.Section(), Key: f.Key(), Line: f.Line(), Found: f.Found(), Allowed: f.Allowed(),
		})
	}
	return nil, r
}

type putCommand struct {
	changeOptions
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`

	program *Program
}

// Execute implements flags.Commander.
func (c *putCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	p, err := readPreset(c.Args.File)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return err
	}
	path, err := adminPath("presets", p.Name(), "")
	if err != nil {
		return err
	}
	body := operator.PutRequest{ChangeRequest: c.request(c.program), Text: string(text)}
	return c.program.change(http.MethodPut, path, body, c.ChangeID)
}

type switchCommand struct {
	changeOptions
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`

	program *Program
}

// Execute implements flags.Commander.
func (c *switchCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	path, err := adminPath("presets", c.Args.Name, "switch")
	if err != nil {
		return err
	}
	body := c.request(c.program)
	return c.program.change(http.MethodPost, path, body, c.ChangeID)
}

type listCommand struct{ program *Program }

// Execute implements flags.Commander.
func (c *listCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	var list operator.PresetList
	return c.program.get("/admin/presets", &list, func() string { return presetsText(list) })
}

func presetsText(list operator.PresetList) string {
	rows := [][]string{{"PRESET", "IN FORCE", "SINCE", "DIGEST"}}
	for _, p := range list.Presets {
		rows = append(rows, []string{p.Name, yes(p.InForce), strconv.FormatUint(p.Since, 10), p.Digest[:min(12, len(p.Digest))]})
	}
	return fmt.Sprintf("generation %d\n%s", list.Generation, table(rows))
}

type showCommand struct {
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`

	program *Program
}

// Execute implements flags.Commander.
func (c *showCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	path, err := adminPath("presets", c.Args.Name, "")
	if err != nil {
		return err
	}
	var v operator.PresetView
	return c.program.get(path, &v, func() string { return strings.TrimRight(v.Text, "\n") })
}

// get asks for v and prints it.
func (p *Program) get(path string, v any, text func() string) error {
	c, err := p.open()
	if err != nil {
		return err
	}
	if err := c.do(p.ctx, call{method: http.MethodGet, path: path}, v); err != nil {
		return err
	}
	return p.show(v, text)
}
