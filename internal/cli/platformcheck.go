package cli

import (
	"fmt"

	"github.com/parsleyhill/parsleyhill/internal/decide/configcheck"
	"github.com/parsleyhill/parsleyhill/platform"
)

// runPlatform checks a configuration of the users' platform and prints the report.
// If the version in force cannot be read, the other checks are made and the error
// is returned.
func (c *configChecker) runPlatform(file string) error {
	if c.customer != "" || c.hosts != "" || c.runMs != 0 {
		return usageErrorf("config check: -customer, -hosts and -run-ms do not apply with -platform")
	}
	if c.namesHosts() {
		return usageErrorf("config check: -against has to name a file with -platform, because entry hosts do not serve that configuration")
	}
	in := configcheck.RoutesInput{
		Words: platform.ConfigWords, Format: platform.ConfigFormat(),
		MinBodyBytes: platform.FullSpecJobBytes, MaxHeaderBytes: platform.MaxHeaderBytes,
		InForceUnknown: "-against is not given",
	}
	var err error
	if in.Document, err = c.tool.readFile(file); err != nil {
		return usageErrorf("%v", err)
	}
	if in.Config, err = platform.DecodeConfig(in.Document); err != nil {
		in.Refused = err
	}
	if in.Services, err = platform.DefinedServices(in.Document); err != nil {
		in.ServicesUnknown = err.Error()
	}
	var sourceErr error
	if c.against != "" {
		if sourceErr = c.readRoutesInForce(&in); sourceErr != nil {
			in.InForceUnknown = sourceErr.Error()
			sourceErr = fmt.Errorf("the version in force: %w", sourceErr)
		}
	}
	report, err := configcheck.CheckRoutes(in)
	if err != nil {
		return usageErrorf("%s: %v", file, err)
	}
	return c.finish(file, report, sourceErr)
}

func (c *configChecker) readRoutesInForce(in *configcheck.RoutesInput) error {
	document, err := c.tool.readFile(c.against)
	if err != nil {
		return err
	}
	config, err := platform.DecodeConfig(document)
	if err != nil {
		return fmt.Errorf("%s: %w", c.against, err)
	}
	in.InForce, in.InForceVersion = document, config.Version
	return nil
}
