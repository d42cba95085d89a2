import { rules } from '@thornsail/fog';

rules.test('budget,hold,uncut'.split(','), [1, 2, 3]);
