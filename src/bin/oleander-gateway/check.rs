//! The command `check`.

use crate::cli::CheckArgs;
use crate::exit_codes::GatewayExit;
use anyhow::Context;
use oleander_gateway::configuration_check::{
    CheckFinding, FindingLevel, check_configuration, compare_configurations,
};
use oleander_platform::configuration_file::ConfigurationFile;
use std::path::Path;

/// Checks a configuration and prints what it finds.
pub fn run(args: &CheckArgs) -> GatewayExit {
    match find(args) {
        Ok((file, findings)) => {
            findings.iter().for_each(|finding| println!("{}", file.line(finding)));
            let errors = findings.iter().filter(|finding| finding.level == FindingLevel::Error);
            match errors.count() {
                0 => GatewayExit::Checked,
                errors => {
                    eprintln!("oleander-gateway: {errors} errors");
                    GatewayExit::Invalid
                }
            }
        }
        Err(error) => {
            eprintln!("oleander-gateway: {error:#}");
            GatewayExit::Invalid
        }
    }
}

fn find(args: &CheckArgs) -> anyhow::Result<(ConfigurationFile, Vec<CheckFinding>)> {
    let new = read(&args.new)?;
    let mut findings = check_configuration(&new.draft);
    if let Some(path) = &args.against {
        findings.extend(compare_configurations(&read(path)?.draft, &new.draft));
    }
    Ok((new, findings))
}

fn read(path: &Path) -> anyhow::Result<ConfigurationFile> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).with_context(|| format!("cannot read {name}"))?;
    ConfigurationFile::new(&name, &text).with_context(|| name.clone())
}
