//! Plain text tables.

/// Prints rows in aligned columns under their titles.
pub fn print(titles: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows.iter().map(|row| row[column].len());
        cells.chain([titles[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..titles.len()).map(width).collect();
    let line = |cells: &mut dyn Iterator<Item = &str>| {
        let padded = cells
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"));
        println!("{}", padded.collect::<Vec<_>>().join("  ").trim_end());
    };
    line(&mut titles.iter().copied());
    for row in rows {
        line(&mut row.iter().map(String::as_str));
    }
}
