//! What the keeper's books make of letters that come in another order than they were sent.

use ottersill_fleet::books::{Books, Entry, Held};
use ottersill_fleet::terms::{Budget, Charter, Kind, Process};
use ottersill_fleet::vote::Ballot;

#[test]
fn a_question_that_comes_after_its_holder_s_leaving_takes_nothing_off_the_books() {
    let budget = Budget::named("units", Kind::InHand { hold: 1.0 }, 10, 0);
    let entry = |used: u64, held: Held| Entry {
        budget: budget.id,
        subject: 0,
        whole: 10,
        demand: 10,
        used,
        held: [held, Held::default()],
    };
    let charter = Charter {
        name: "k".to_string(),
        voters: vec!["k".to_string()],
        keeper_lease: 1.0,
        lease: 2.0,
        floor_lease: 2.0,
        drift: 0.01,
        members_at_most: 2,
        budgets: vec![budget.clone()],
    };
    let [one, other] = ["one", "other"].map(|name| Process { name: name.to_string(), incarnation: 1 });
    let mut books = Books::open(-100.0, Ballot::default());
    let grant = books.ask(0.0, &charter, &one, 1, &entry(0, Held::default())).expect("a grant");
    assert_eq!(grant.amounts, [10, 0]);
    // It asked (2) with two in hand, began eight more, and left (3); the leaving came first.
    books.leave(0.2, &one, 3, &charter);
    let late = entry(2, Held { amount: 10, serial: grant.serial });
    assert_eq!(books.ask(0.3, &charter, &one, 2, &late), None);
    let next = books.ask(0.4, &charter, &other, 1, &entry(0, Held::default())).expect("an answer");
    assert_eq!(next.amounts, [0, 0], "all ten may be in hand still");
    let later = books.ask(1.3, &charter, &other, 2, &entry(0, Held::default())).expect("an answer");
    assert_eq!(later.amounts, [10, 0]);
}
