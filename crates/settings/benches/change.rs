//! Cost of changing one weight, of one lookup and of a full rebuild, by the number of routes.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use lynxcleat_settings::{
    CopyProgress, Route, RouteEffects, RoutePart, RouteTable, Tree, TreeCopy, TreeEdit,
};
use serde_json::json;

const ROUTES: [usize; 5] = [10, 100, 1_400, 5_600, 14_000];
/// Size limit of a part, as in the daemon.
const PART_BYTES: usize = 32 << 10;

fn route(number: usize, weight: u32) -> Route {
    let part = |service: &str, weight| RoutePart {
        service: service.to_owned(),
        weight,
    };
    Route {
        host: "shop.example".to_owned(),
        prefix: format!("/many{number}/"),
        effects: RouteEffects::None,
        timeout_ms: 1_000,
        goal_ms: 400,
        attempts: 2,
        priority: 1,
        parts: vec![part("stock", weight), part("price", 10)],
        home_regions: Vec::new(),
        large_bodies: false,
        public: false,
    }
}

fn tree(routes: usize) -> Tree {
    let nested = json!({"places": {"east": {"services": {"stock": {}, "price": {}}}}});
    let mut edit = TreeEdit::of(&Tree::from_json(&nested).expect("valid"));
    for number in 0..routes {
        let name = format!("r-{number}");
        edit.put_route(&name, route(number, 90)).expect("valid");
    }
    edit.finish().expect("valid")
}

fn changed(before: &Tree) -> Tree {
    let mut edit = TreeEdit::of(before);
    edit.put_route("r-7", route(7, 80)).expect("valid");
    edit.finish().expect("valid")
}

/// All work for one change, from the source's diff to the receiver's copy, validation, digest and
/// lookup table.
fn apply_change(before: &Tree, table: &RouteTable, after: &Tree) -> RouteTable {
    let mut copy = TreeCopy::of(before);
    let part = after.part_since(before, copy.request().first, PART_BYTES);
    let progress = copy.apply(2, &after.entries_digest(), part);
    let Ok(CopyProgress::Complete(tree)) = progress else {
        panic!("expected a single part to complete the copy");
    };
    table.updated_for(&tree)
}

fn one_weight(c: &mut Criterion) {
    let mut group = c.benchmark_group("one-weight");
    for routes in ROUTES {
        let before = tree(routes);
        let after = changed(&before);
        let table = RouteTable::of(&before);
        group.bench_with_input(BenchmarkId::from_parameter(routes), &routes, |b, _| {
            b.iter(|| black_box(apply_change(&before, &table, &after)));
        });
    }
    group.finish();
}

fn lookup(c: &mut Criterion) {
    let mut group = c.benchmark_group("lookup");
    for routes in ROUTES {
        let table = RouteTable::of(&tree(routes));
        let path = format!("/many{}/a/b", routes - 1);
        group.bench_with_input(BenchmarkId::from_parameter(routes), &path, |b, path| {
            b.iter(|| black_box(table.find("shop.example", black_box(path))));
        });
    }
    group.finish();
}

fn rebuild(c: &mut Criterion) {
    let mut group = c.benchmark_group("all-anew");
    group.sample_size(10);
    for routes in ROUTES {
        let text = tree(routes).to_json().to_string();
        group.bench_with_input(BenchmarkId::from_parameter(routes), &text, |b, text| {
            b.iter(|| {
                let tree = Tree::parse(text).expect("valid");
                black_box((tree.entries_digest(), RouteTable::of(&tree)))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, one_weight, lookup, rebuild);
criterion_main!(benches);
