//! Implementation of the commands.

use crate::cli::{ChangeArgs, Cli, Command, NamedRollout, PublishArgs, RolloutCommand};
use crate::client::StewardClient;
use crate::failure::CtlFailure;
use crate::render;
use oleander_catalog::records::{PublishId, RevisionRecord};
use oleander_catalog::{CatalogFile, parse_catalog};
use oleander_core::catalog::Catalog;
use oleander_core::catalog::diff::diff_catalogs;
use oleander_core::catalog::edit::CatalogEdit;
use oleander_core::catalog::objects::{Rollout, RolloutPhase};
use oleander_core::ids::{AccountName, Revision, RolloutName};
use oleander_core::ledger::fold::Statement;
use oleander_steward::operators::messages::{
    CatalogReply, EditCall, PublishCall, PublishReply, StatusReply,
};
use serde::Serialize;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Interval at which the members' status is polled while waiting.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Runs a command and returns its output.
pub async fn run(cli: Cli, client: &StewardClient) -> Result<String, CtlFailure> {
    let json = cli.json;
    let output = |value: Value, text: String| if json { format!("{value:#}\n") } else { text };
    match cli.command {
        Command::Check { files } => {
            let catalog = read_catalog(&files)?;
            let objects = count_objects(&catalog);
            let text = format!("{objects} objects, no finding\n");
            Ok(output(json!({ "objects": objects, "findings": [] }), text))
        }
        Command::Publish(args) => publish(&args, client, json).await,
        Command::Status => {
            let status: StatusReply = client.get("status").await?;
            Ok(output(to_value(&status), render::status(&status)))
        }
        Command::Diff { items } => diff(&items, client, json).await,
        Command::History { limit } => {
            let records: Vec<RevisionRecord> =
                client.get(&format!("history?limit={limit}")).await?;
            Ok(output(to_value(&records), render::history(&records)))
        }
        Command::Rollout(command) => rollout(command, client, json).await,
        Command::Withdraw { version, reason, replacement, change } => {
            let edit = CatalogEdit::Withdraw { version, reason: reason.into(), replacement };
            edit_catalog(edit, &change, client, json).await
        }
        Command::Drain { upstream, reason, undo, change } => {
            let edit = if undo {
                CatalogEdit::Undrain { upstream }
            } else {
                CatalogEdit::Drain { upstream, reason: reason.unwrap_or_default().into() }
            };
            edit_catalog(edit, &change, client, json).await
        }
        Command::Bill { account, from, to } => {
            let times = [("from", from), ("to", to)];
            let times = times.iter().filter_map(|(name, time)| Some((name, time.as_ref()?)));
            let query: Vec<String> =
                times.map(|(name, time)| format!("{name}={}", time.0.as_millis())).collect();
            let statement = bill(&account, &query.join("&"), client).await?;
            Ok(output(to_value(&statement), render::statement(&statement)))
        }
        Command::Explain { request, entry } => {
            let trace: Value = match entry {
                Some(entry) => {
                    let body =
                        client.get_from_entry(entry, &format!("/requests/{request}")).await?;
                    serde_json::from_slice(&body).map_err(|e| CtlFailure::Usage(e.to_string()))?
                }
                None => client.get(&format!("explain/{request}")).await?,
            };
            let text = render::explanation(&trace);
            Ok(output(trace, text))
        }
    }
}

fn to_value<T: Serialize>(value: &T) -> Value {
    serde_json::to_value(value).unwrap_or_default()
}

fn read_files(paths: &[PathBuf]) -> Result<Vec<CatalogFile>, CtlFailure> {
    let read = |path: &PathBuf| {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| CtlFailure::Usage(format!("cannot read {name}: {error}")))?;
        Ok(CatalogFile::new(&name, &text))
    };
    paths.iter().map(read).collect()
}

fn read_catalog(paths: &[PathBuf]) -> Result<Catalog, CtlFailure> {
    let parsed = parse_catalog(&read_files(paths)?);
    parsed.map(|(catalog, _)| catalog).map_err(CtlFailure::Findings)
}

fn count_objects(catalog: &Catalog) -> usize {
    let sections = to_value(catalog);
    let maps = sections.as_object().into_iter().flatten();
    let objects = maps.filter(|(name, _)| *name != "policy");
    objects.filter_map(|(_, section)| section.as_object()).map(serde_json::Map::len).sum()
}

fn publish_id(change: &ChangeArgs) -> PublishId {
    change.publish_id.unwrap_or_else(|| PublishId::new(rand::random()))
}

async fn publish(
    args: &PublishArgs,
    client: &StewardClient,
    json: bool,
) -> Result<String, CtlFailure> {
    // Checked locally first, so that findings are reported without a steward.
    read_catalog(&args.files)?;
    let publish_id = publish_id(&args.change);
    let call = PublishCall {
        publish_id,
        files: read_files(&args.files)?,
        base: args.base,
        note: args.note.as_str().into(),
    };
    let reply = client.post("publish", &call, &publish_id.to_string()).await?;
    finish(&reply, &args.change, client, json).await
}

async fn edit_catalog(
    edit: CatalogEdit,
    change: &ChangeArgs,
    client: &StewardClient,
    json: bool,
) -> Result<String, CtlFailure> {
    let publish_id = publish_id(change);
    let call = EditCall { publish_id, change: edit };
    let reply = client.post("edit", &call, &publish_id.to_string()).await?;
    finish(&reply, change, client, json).await
}

/// Waits if `--wait` was given, and reports on how many members the revision is in force.
async fn finish(
    reply: &PublishReply,
    change: &ChangeArgs,
    client: &StewardClient,
    json: bool,
) -> Result<String, CtlFailure> {
    let limit = Duration::from_secs(if change.wait { change.wait_seconds } else { 0 });
    let status = wait_in_force(reply.revision, limit, client).await?;
    let behind = behind(&status, reply.revision);
    if change.wait && !behind.is_empty() {
        let (revision, missing) = (reply.revision.get(), behind.join(", "));
        return Err(CtlFailure::NotInForce { revision, missing });
    }
    let (total, in_force) = (status.members.len(), status.members.len() - behind.len());
    if json {
        let mut value = to_value(reply);
        value["in_force_on"] = json!(in_force);
        value["members"] = json!(total);
        return Ok(format!("{value:#}\n"));
    }
    let text = render::publication(reply);
    Ok(format!("{text}in force on {in_force} of {total} members\n"))
}

async fn wait_in_force(
    revision: Revision,
    limit: Duration,
    client: &StewardClient,
) -> Result<StatusReply, CtlFailure> {
    let started = Instant::now();
    loop {
        let status: StatusReply = client.get("status").await?;
        if behind(&status, revision).is_empty() || started.elapsed() >= limit {
            return Ok(status);
        }
        tokio::time::sleep(STATUS_POLL_INTERVAL).await;
    }
}

fn behind(status: &StatusReply, revision: Revision) -> Vec<String> {
    let members = status.members.iter().map(|status| &status.member);
    members.filter(|member| member.revision < revision).map(|m| m.id.to_string()).collect()
}

async fn fetch(revision: Option<u64>, client: &StewardClient) -> Result<CatalogReply, CtlFailure> {
    match revision {
        Some(revision) => client.get(&format!("catalog?revision={revision}")).await,
        None => client.get("catalog").await,
    }
}

async fn diff(items: &[String], client: &StewardClient, json: bool) -> Result<String, CtlFailure> {
    let numbers: Vec<u64> = items.iter().map_while(|item| item.parse().ok()).collect();
    let (before, after) = match (items, numbers.as_slice()) {
        ([], _) => {
            let head = fetch(None, client).await?;
            let revision = head.record.as_ref().map_or(0, |record| record.revision.get());
            (fetch(Some(revision.saturating_sub(1)), client).await?.catalog, head.catalog)
        }
        ([_, _], &[from, to]) => {
            (fetch(Some(from), client).await?.catalog, fetch(Some(to), client).await?.catalog)
        }
        (files, _) => {
            let files: Vec<PathBuf> = files.iter().map(|item| Path::new(item).into()).collect();
            (fetch(None, client).await?.catalog, read_catalog(&files)?)
        }
    };
    let entries = diff_catalogs(&before, &after);
    Ok(if json { format!("{:#}\n", to_value(&entries)) } else { render::differences(&entries) })
}

async fn rollout(
    command: RolloutCommand,
    client: &StewardClient,
    json: bool,
) -> Result<String, CtlFailure> {
    let (edit, change) = match command {
        RolloutCommand::Status { name } => return rollout_status(name, client, json).await,
        RolloutCommand::Start { name, model, to, steps, change } => {
            let head = fetch(None, client).await?.catalog;
            let unknown = || CtlFailure::Usage(format!("no model is named {model}"));
            let from = head.models.get(&model).ok_or_else(unknown)?.current.clone();
            let (steps, phase) = (steps.0, RolloutPhase::Running);
            let rollout = Rollout { model, from, to, steps, step: 0, phase };
            (CatalogEdit::StartRollout { name, rollout }, change)
        }
        RolloutCommand::Pause(NamedRollout { name, change }) => {
            (CatalogEdit::PauseRollout { name }, change)
        }
        RolloutCommand::Resume(NamedRollout { name, change }) => {
            (CatalogEdit::ResumeRollout { name }, change)
        }
        RolloutCommand::Abort(NamedRollout { name, change }) => {
            (CatalogEdit::AbortRollout { name }, change)
        }
    };
    edit_catalog(edit, &change, client, json).await
}

async fn rollout_status(
    name: Option<RolloutName>,
    client: &StewardClient,
    json: bool,
) -> Result<String, CtlFailure> {
    let catalog = fetch(None, client).await?.catalog;
    if let Some(name) = name.as_ref().filter(|name| !catalog.rollouts.contains_key(*name)) {
        return Err(CtlFailure::Usage(format!("no roll-out is named {name}")));
    }
    if json {
        return Ok(format!("{:#}\n", to_value(&catalog.rollouts)));
    }
    Ok(render::rollouts(&catalog, name.as_ref()))
}

async fn bill(
    account: &AccountName,
    query: &str,
    client: &StewardClient,
) -> Result<Statement, CtlFailure> {
    client.get(&format!("bill/{account}?{query}")).await
}
