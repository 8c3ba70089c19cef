//! Reads team declarations from `<team>.json` or a directory of such files.

use std::path::Path;

use ivytrail::{
    id::TeamName,
    settings::{
        SettingsTree, TeamSubtree,
        check::{check_subtree, is_valid_name, parse_subtree},
    },
};

use crate::report::ToolError;

/// A team's settings, read from a file.
#[derive(Debug)]
pub struct TeamDeclaration {
    /// Name of the team, from the file's name.
    pub team: TeamName,
    /// Content of the file.
    pub subtree: TeamSubtree,
}

/// Reads `<team>.json` or a directory of such files, and validates each declaration on its own and against the others.
///
/// # Errors
///
/// Returns an error for the first invalid file, with all its findings.
pub fn read_declarations(path: &str) -> Result<Vec<TeamDeclaration>, ToolError> {
    let files = declaration_files(Path::new(path))?;
    let mut tree = SettingsTree::default();
    let mut declarations = Vec::new();
    for file in files {
        let declaration = read_declaration(&file)?;
        let TeamDeclaration { team, subtree } = &declaration;
        check_subtree(&tree, team, subtree)
            .map_err(|findings| ToolError::BadFile { path: file.clone(), findings })?;
        tree.teams.insert(team.clone(), subtree.clone());
        declarations.push(declaration);
    }
    Ok(declarations)
}

/// Reads a text file.
///
/// # Errors
///
/// Returns [`ToolError::BadInput`] when the file can't be read.
pub fn read_file(path: &str) -> Result<String, ToolError> {
    std::fs::read_to_string(path).map_err(|cause| ToolError::BadInput(format!("{path}: {cause}")))
}

fn declaration_files(path: &Path) -> Result<Vec<String>, ToolError> {
    if !path.is_dir() {
        return Ok(vec![path.display().to_string()]);
    }
    let unreadable = |cause| ToolError::BadInput(format!("{}: {cause}", path.display()));
    let mut files = Vec::new();
    for entry in std::fs::read_dir(path).map_err(unreadable)? {
        let file = entry.map_err(unreadable)?.path();
        if file.extension().is_some_and(|it| it == "json") {
            files.push(file.display().to_string());
        }
    }
    files.sort();
    match files.is_empty() {
        true => Err(ToolError::BadInput(format!(
            "{}: the directory has no <team>.json file",
            path.display()
        ))),
        false => Ok(files),
    }
}

fn read_declaration(file: &str) -> Result<TeamDeclaration, ToolError> {
    let stem = Path::new(file).file_stem().and_then(|it| it.to_str()).unwrap_or_default();
    if !is_valid_name(stem) {
        let message = format!("{file}: the file name must be <team>.json with a valid team name");
        return Err(ToolError::BadInput(message));
    }
    let subtree = parse_subtree(&read_file(file)?)
        .map_err(|findings| ToolError::BadFile { path: file.to_string(), findings })?;
    Ok(TeamDeclaration { team: stem.into(), subtree })
}
